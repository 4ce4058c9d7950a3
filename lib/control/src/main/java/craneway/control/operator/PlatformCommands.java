package craneway.control.operator;

import craneway.control.node.CoreClient;
import craneway.model.problem.Kind;
import craneway.model.problem.Problem;
import craneway.model.unit.Parts;
import craneway.state.message.Codec;
import craneway.state.message.Commands;
import craneway.state.message.Messages.CommandResult;
import craneway.state.message.Queries;
import craneway.state.record.Rows;
import io.vavr.control.Either;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

/**
 * What a platform asks of the core; every call is answered within 0.8 s, with a problem where the core gives no reply. A change
 * is bound by {@code since}, the steady time at which its caller was last known to wait: it has no effect 0.8 s after that.
 */
public final class PlatformCommands {
    private static final long REQUEST_TIMEOUT_MICROS = 800_000;

    private final CoreClient coreClient;

    /** Asks by way of the given asker. */
    public PlatformCommands(CoreClient coreClient) {
        this.coreClient = coreClient;
    }

    /** Reads the newest configuration from its leader. */
    public void manifest(Consumer<Either<Problem, Rows.Manifest>> then) {
        coreClient.ask(
                Parts.MANIFEST,
                new Queries.ManifestGet(),
                REQUEST_TIMEOUT_MICROS,
                v -> then.accept(toResult(v).map(x -> Codec.read(Rows.Manifest.class, v.body))));
    }

    /** The text must have been checked; RACE_LOST and BAD_MANIFEST are final, any other problem leaves open whether it was taken. */
    public void put(
            long base, long number, String text, String source, long since, Consumer<Either<Problem, Void>> then) {
        var c = new Commands.ManifestPut();
        c.base = base;
        c.number = number;
        c.text = text;
        c.source = source;
        submitChange(Parts.MANIFEST, c, since, then);
    }

    /** Empties a zone or takes it back. */
    public void mark(String zone, boolean emptied, long since, Consumer<Either<Problem, Void>> then) {
        var c = new Commands.ZoneMark();
        c.zone = zone;
        c.emptied = emptied;
        submitChange(Parts.MANIFEST, c, since, then);
    }

    /** A call that came too late to count is as good as taken. */
    public void beat(Commands.RunnerPut c, long since, Consumer<Either<Problem, Void>> then) {
        coreClient.askUntil(Parts.of(c.service), c, since + REQUEST_TIMEOUT_MICROS, v -> {
            if (v.kind == Kind.STALE_RUNNER.code()) then.accept(Either.right(null));
            else if (v.kind == 0) then.accept(toResult(v));
            else
                then.accept(
                        Either.left(Problem.of(Kind.NO_OWNER, Kind.of(v.kind).text() + ": " + v.detail)));
        });
    }

    /** Marks a life as leaving, whichever service it belongs to; one that no part knows is as good as gone. */
    public void left(String runner, long since, Consumer<Either<Problem, Void>> then) {
        var open = new AtomicInteger(Parts.COUNT - 1);
        var wrong = new AtomicReference<Problem>();
        for (var p = 0; p < Parts.COUNT; p++) {
            if (p == Parts.MANIFEST) continue;
            var c = new Commands.RunnerLeft();
            c.runner = runner;
            coreClient.askUntil(p, c, since + REQUEST_TIMEOUT_MICROS, v -> {
                toResult(v).peekLeft(wrong::set);
                if (open.decrementAndGet() == 0)
                    then.accept(wrong.get() == null ? Either.right(null) : Either.left(wrong.get()));
            });
        }
    }

    private void submitChange(int part, Object command, long since, Consumer<Either<Problem, Void>> then) {
        coreClient.askUntil(part, command, since + REQUEST_TIMEOUT_MICROS, v -> then.accept(toResult(v)));
    }

    private static Either<Problem, Void> toResult(CommandResult v) {
        return v.kind == 0 ? Either.right(null) : Either.left(new Problem(Kind.of(v.kind), v.detail, v.retryAfter));
    }
}
