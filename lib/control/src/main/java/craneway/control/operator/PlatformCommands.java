package craneway.control.operator;

import craneway.control.node.CoreClient;
import craneway.model.problem.ProblemKind;
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
    private static final long TIMEOUT = 800_000;

    private final CoreClient coreClient;

    /** Asks by way of the given asker. */
    public PlatformCommands(CoreClient coreClient) {
        this.coreClient = coreClient;
    }

    /** Reads the newest configuration from its leader. */
    public void readManifest(Consumer<Either<Problem, Rows.Manifest>> then) {
        coreClient.request(
                Parts.MANIFEST_PART,
                new Queries.ManifestGet(),
                TIMEOUT,
                v -> then.accept(reply(v).map(x -> Codec.decode(Rows.Manifest.class, v.body))));
    }

    /** The text must have been checked; RACE_LOST and BAD_MANIFEST are final, any other problem leaves open whether it was taken. */
    public void putManifest(
            long base, long number, String text, String source, long since, Consumer<Either<Problem, Void>> then) {
        var c = new Commands.ManifestPut();
        c.baseVersion = base;
        c.senderNumber = number;
        c.text = text;
        c.sourceText = source;
        ask(Parts.MANIFEST_PART, c, since, then);
    }

    /** Empties a zone or takes it back. */
    public void markZone(String zone, boolean emptied, long since, Consumer<Either<Problem, Void>> then) {
        var c = new Commands.ZoneMark();
        c.zone = zone;
        c.emptied = emptied;
        ask(Parts.MANIFEST_PART, c, since, then);
    }

    /** A call that came too late to count is as good as taken. */
    public void reportRunnerHeartbeat(Commands.RunnerPut c, long since, Consumer<Either<Problem, Void>> then) {
        coreClient.requestUntil(Parts.partOf(c.service), c, since + TIMEOUT, v -> {
            if (v.kind == ProblemKind.STALE_RUNNER.code()) then.accept(Either.right(null));
            else if (v.kind == 0) then.accept(reply(v));
            else
                then.accept(
                        Either.left(Problem.of(ProblemKind.NO_OWNER, ProblemKind.of(v.kind).text() + ": " + v.detail)));
        });
    }

    /** Marks a life as leaving, whichever service it belongs to; one that no part knows is as good as gone. */
    public void markRunnerLeaving(String runner, long since, Consumer<Either<Problem, Void>> then) {
        var open = new AtomicInteger(Parts.COUNT - 1);
        var wrong = new AtomicReference<Problem>();
        for (var p = 0; p < Parts.COUNT; p++) {
            if (p == Parts.MANIFEST_PART) continue;
            var c = new Commands.RunnerLeft();
            c.runner = runner;
            coreClient.requestUntil(p, c, since + TIMEOUT, v -> {
                reply(v).peekLeft(wrong::set);
                if (open.decrementAndGet() == 0)
                    then.accept(wrong.get() == null ? Either.right(null) : Either.left(wrong.get()));
            });
        }
    }

    private void ask(int part, Object command, long since, Consumer<Either<Problem, Void>> then) {
        coreClient.requestUntil(part, command, since + TIMEOUT, v -> then.accept(reply(v)));
    }

    private static Either<Problem, Void> reply(CommandResult v) {
        return v.kind == 0 ? Either.right(null) : Either.left(new Problem(ProblemKind.of(v.kind), v.detail, v.retryAfterMicros));
    }
}
