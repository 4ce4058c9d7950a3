package craneway.sim.history;

import craneway.model.problem.Problem;
import craneway.state.record.Rows;
import io.vavr.control.Either;
import java.util.function.Consumer;

/**
 * What a store does with a call of the operator's interface once it has read it: the way of {@code craneway.api.operator.PlatformOperatorHandler}
 * without HTTP, on the production class {@code Passing}. Its statuses are those of that class.
 */
class Office {
    private static final String MANIFEST =
            "{\"name\":\"platform\",\"regions\":[\"a\",\"b\",\"c\"],\"zones\":[{\"name\":\"z1\",\"region\":\"a\"}],"
                    + "\"services\":[],\"routes\":[]}";

    /** A call: a configuration, a zone's mark, or a read if neither is named. */
    record Request(long base, long number, String value, String zone, boolean emptied) {
        static Request configure(long base, long number, String value) {
            return new Request(base, number, value, null, false);
        }

        static Request mark(String zone, boolean emptied) {
            return new Request(0, 0, null, zone, emptied);
        }

        static Request read() {
            return new Request(0, 0, null, null, false);
        }

        boolean configures() {
            return value != null;
        }

        boolean marks() {
            return zone != null;
        }
    }

    /** Its answer; the manifest is there for a read that was answered. */
    record Answer(int status, Rows.Manifest manifest) {
        static final Answer BROKEN = new Answer(0, null);

        static Answer of(int status) {
            return new Answer(status, null);
        }

        boolean ok() {
            return status >= 200 && status < 300;
        }
    }

    private final String padding;

    Office() {
        this(0);
    }

    /** With configurations that are so many bytes longer than their value. */
    Office(int padding) {
        this.padding = "x".repeat(padding);
    }

    void take(StoreNode at, Request q, Consumer<Answer> then) {
        if (q.configures()) configure(at, q, then);
        else if (q.marks()) at.passing().markZone(q.zone(), q.emptied(), at.now(), r -> then.accept(done(r)));
        else at.passing().readManifest(r -> then.accept(read(r)));
    }

    void configure(StoreNode at, Request q, Consumer<Answer> then) {
        at.passing().putManifest(q.base(), q.number(), MANIFEST, source(q), at.now(), r -> then.accept(done(r)));
    }

    /** The configuration as sent: its value, a blank and what makes it long. */
    String source(Request q) {
        return q.value() + " " + padding;
    }

    /** The value of a configuration that was read back. */
    static String value(String source) {
        return source.substring(0, source.indexOf(' '));
    }

    /** An empty store of configurations answers 404, which tells as much as a configuration. */
    private static Answer read(Either<Problem, Rows.Manifest> r) {
        return r.isLeft() ? Answer.of(status(r.getLeft())) : new Answer(200, r.get());
    }

    static Answer done(Either<Problem, Void> r) {
        return Answer.of(r.isRight() ? 200 : status(r.getLeft()));
    }

    private static int status(Problem p) {
        return switch (p.kind()) {
            case RACE_LOST -> 412;
            case BAD_MANIFEST, BAD_OPERATOR_INPUT, BAD_JSON, BAD_FIELD -> 400;
            default -> p.kind().status() < 500 ? p.kind().status() : 503;
        };
    }
}
