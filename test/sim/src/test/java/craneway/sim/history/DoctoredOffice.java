package craneway.sim.history;

import craneway.model.unit.Parts;
import craneway.sim.Sim;
import craneway.state.record.Rows;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Operator endpoints that each violate one rule, to verify that the checker detects it. */
final class DoctoredOffice {
    private static final long CACHE_DURATION_MICROS = 2_000_000;
    private static final long DUPLICATE_DELAY_MICROS = 3_000_000;

    private DoctoredOffice() {}

    /** Answers reads from the local replica without contacting a majority. */
    static Office readsWithoutContact() {
        return new Office() {
            @Override
            void take(StoreNode node, Request request, Consumer<Answer> callback) {
                var replicas = node.store().replicas();
                if (request.configures() || request.marks() || replicas.length == 0)
                    super.take(node, request, callback);
                else
                    callback.accept(new Answer(
                            200, replicas[Parts.MANIFEST_PART].records().rows().manifest));
            }
        };
    }

    /** Acknowledges a configuration whenever the number in force equals its own, whatever the content. */
    static Office confirmsByNumber() {
        return new Office() {
            @Override
            void configure(StoreNode node, Request request, Consumer<Answer> callback) {
                super.configure(node, request, answer -> {
                    if (answer.status() != 412) callback.accept(answer);
                    else
                        node.passing().readManifest(result -> {
                            var sameNumber = result.isRight() && result.get().version == request.number();
                            callback.accept(sameNumber ? Answer.of(200) : answer);
                        });
                });
            }
        };
    }

    /** Does not recognize a resent configuration that it has accepted. */
    static Office knowsNoneAgain() {
        return new Office() {
            private int count;

            @Override
            String source(Request request) {
                return super.source(request) + ++count;
            }
        };
    }

    /** Acknowledges a configuration that no majority has confirmed. */
    static Office confirmsAlone() {
        return new Office() {
            @Override
            void configure(StoreNode node, Request request, Consumer<Answer> callback) {
                super.configure(
                        node, request, answer -> callback.accept(answer.status() == 503 ? Answer.of(200) : answer));
            }
        };
    }

    /** Answers reads for a while from the previous answer. */
    static Office readsFromMemory() {
        return new Office() {
            private final Map<String, Rows.Manifest> cachedByNode = new HashMap<>();
            private final Map<String, Long> cachedAt = new HashMap<>();

            @Override
            void take(StoreNode node, Request request, Consumer<Answer> callback) {
                var fresh = node.now() - cachedAt.getOrDefault(node.name, Long.MIN_VALUE / 2) < CACHE_DURATION_MICROS;
                if (request.configures() || request.marks()) super.take(node, request, callback);
                else if (fresh) callback.accept(new Answer(200, cachedByNode.get(node.name)));
                else
                    super.take(node, request, answer -> {
                        if (answer.ok()) {
                            cachedByNode.put(node.name, answer.manifest());
                            cachedAt.put(node.name, node.now());
                        }
                        callback.accept(answer);
                    });
            }
        };
    }

    /** Applies a zone command a second time, seconds later. */
    static Office copiesZoneOrders(Sim[] sim) {
        return new Office() {
            @Override
            void take(StoreNode node, Request request, Consumer<Answer> callback) {
                super.take(node, request, callback);
                if (request.marks())
                    sim[0].after(DUPLICATE_DELAY_MICROS, () -> node.run(() -> super.take(node, request, answer -> {})));
            }
        };
    }
}
