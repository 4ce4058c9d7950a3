package craneway.sim.history;

import craneway.model.problem.Problem;
import craneway.state.record.Rows;
import io.vavr.control.Either;
import java.util.function.Consumer;

/**
 * Handles a call to a store's operator interface once it has been read. It does without HTTP what {@code
 * craneway.api.operator.PlatformOperatorHandler} does, by means of the production class {@link
 * craneway.control.operator.PlatformCommands}. Its status codes are those of that handler.
 */
class OperatorEndpoint {
    private static final String MANIFEST =
            "{\"name\":\"platform\",\"regions\":[\"a\",\"b\",\"c\"],\"zones\":[{\"name\":\"z1\",\"region\":\"a\"}],"
                    + "\"services\":[],\"routes\":[]}";

    /** A call: a configuration, a zone command, or a read if neither is given. */
    record Request(long baseVersion, long version, String value, String zone, boolean emptied) {
        static Request configure(long baseVersion, long version, String value) {
            return new Request(baseVersion, version, value, null, false);
        }

        static Request markZone(String zone, boolean emptied) {
            return new Request(0, 0, null, zone, emptied);
        }

        static Request read() {
            return new Request(0, 0, null, null, false);
        }

        boolean isConfiguration() {
            return value != null;
        }

        boolean isZoneCommand() {
            return zone != null;
        }
    }

    /** The response; the manifest is present for a read that succeeded. Status 0 stands for a broken connection. */
    record Response(int status, Rows.Manifest manifest) {
        static final Response BROKEN = new Response(0, null);

        static Response of(int status) {
            return new Response(status, null);
        }

        boolean isOk() {
            return status >= 200 && status < 300;
        }
    }

    private final String padding;

    OperatorEndpoint() {
        this(0);
    }

    /** Makes configurations longer than their value by the given number of bytes. */
    OperatorEndpoint(int paddingBytes) {
        this.padding = "x".repeat(paddingBytes);
    }

    /** Handles a request on a store. */
    void handle(StoreNode node, Request request, Consumer<Response> callback) {
        if (request.isConfiguration()) configure(node, request, callback);
        else if (request.isZoneCommand())
            node.commands()
                    .markZone(
                            request.zone(),
                            request.emptied(),
                            node.now(),
                            result -> callback.accept(toResponse(result)));
        else node.commands().readManifest(result -> callback.accept(read(result)));
    }

    void configure(StoreNode node, Request request, Consumer<Response> callback) {
        node.commands()
                .putManifest(
                        request.baseVersion(),
                        request.version(),
                        MANIFEST,
                        source(request),
                        node.now(),
                        result -> callback.accept(toResponse(result)));
    }

    /** The text of the configuration as sent: its value, a blank and the padding. */
    String source(Request request) {
        return request.value() + " " + padding;
    }

    /** The value of a configuration that was read back. */
    static String value(String source) {
        return source.substring(0, source.indexOf(' '));
    }

    /** A store without a configuration answers 404, which carries as much information as a configuration. */
    private static Response read(Either<Problem, Rows.Manifest> result) {
        return result.isLeft() ? Response.of(status(result.getLeft())) : new Response(200, result.get());
    }

    static Response toResponse(Either<Problem, Void> result) {
        return Response.of(result.isRight() ? 200 : status(result.getLeft()));
    }

    private static int status(Problem problem) {
        return switch (problem.kind()) {
            case RACE_LOST -> 412;
            case BAD_MANIFEST, BAD_OPERATOR_INPUT, BAD_JSON, BAD_FIELD -> 400;
            default -> problem.kind().status() < 500 ? problem.kind().status() : 503;
        };
    }
}
