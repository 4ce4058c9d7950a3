package craneway.sim.history;

import craneway.model.unit.Parts;
import craneway.sim.Simulation;
import craneway.state.record.Rows;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Operator endpoints that each violate one rule, to verify that the checker detects it. */
final class FaultyEndpoints {
    private static final long CACHE_DURATION_MICROS = 2_000_000;
    private static final long DUPLICATE_DELAY_MICROS = 3_000_000;

    private FaultyEndpoints() {}

    /** Answers reads from the local replica without contacting a majority. */
    static OperatorEndpoint readsWithoutMajority() {
        return new OperatorEndpoint() {
            @Override
            void handle(StoreNode node, Request request, Consumer<Response> callback) {
                var replicas = node.store().replicas();
                if (request.isConfiguration() || request.isZoneCommand() || replicas.length == 0)
                    super.handle(node, request, callback);
                else
                    callback.accept(new Response(
                            200, replicas[Parts.MANIFEST_PART].records().rows().manifest));
            }
        };
    }

    /** Acknowledges a configuration whenever the number in force equals its own, whatever the content. */
    static OperatorEndpoint confirmsByNumber() {
        return new OperatorEndpoint() {
            @Override
            void configure(StoreNode node, Request request, Consumer<Response> callback) {
                super.configure(node, request, response -> {
                    if (response.status() != 412) callback.accept(response);
                    else
                        node.commands().readManifest(result -> {
                            var sameNumber = result.isRight() && result.get().version == request.version();
                            callback.accept(sameNumber ? Response.of(200) : response);
                        });
                });
            }
        };
    }

    /** Does not recognize a resent configuration that it has accepted. */
    static OperatorEndpoint forgetsAcceptedConfigurations() {
        return new OperatorEndpoint() {
            private int count;

            @Override
            String source(Request request) {
                return super.source(request) + ++count;
            }
        };
    }

    /** Acknowledges a configuration that no majority has confirmed. */
    static OperatorEndpoint confirmsWithoutMajority() {
        return new OperatorEndpoint() {
            @Override
            void configure(StoreNode node, Request request, Consumer<Response> callback) {
                super.configure(
                        node,
                        request,
                        response -> callback.accept(response.status() == 503 ? Response.of(200) : response));
            }
        };
    }

    /** Answers reads for a while from the previous answer. */
    static OperatorEndpoint readsFromCache() {
        return new OperatorEndpoint() {
            private final Map<String, Rows.Manifest> cachedByNode = new HashMap<>();
            private final Map<String, Long> cachedAt = new HashMap<>();

            @Override
            void handle(StoreNode node, Request request, Consumer<Response> callback) {
                var fresh = node.now() - cachedAt.getOrDefault(node.name, Long.MIN_VALUE / 2) < CACHE_DURATION_MICROS;
                if (request.isConfiguration() || request.isZoneCommand()) super.handle(node, request, callback);
                else if (fresh) callback.accept(new Response(200, cachedByNode.get(node.name)));
                else
                    super.handle(node, request, response -> {
                        if (response.isOk()) {
                            cachedByNode.put(node.name, response.manifest());
                            cachedAt.put(node.name, node.now());
                        }
                        callback.accept(response);
                    });
            }
        };
    }

    /** Applies a zone command a second time, seconds later. */
    static OperatorEndpoint duplicatesZoneCommands(Simulation[] sim) {
        return new OperatorEndpoint() {
            @Override
            void handle(StoreNode node, Request request, Consumer<Response> callback) {
                super.handle(node, request, callback);
                if (request.isZoneCommand())
                    sim[0].scheduleAfter(
                            DUPLICATE_DELAY_MICROS, () -> node.run(() -> super.handle(node, request, response -> {})));
            }
        };
    }
}
