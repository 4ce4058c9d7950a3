package craneway.control.operator;

import craneway.control.node.CoreClient;
import craneway.model.problem.Problem;
import craneway.model.problem.ProblemKind;
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
 * The commands of a platform that manages the processes from outside. Every call gets a result within 0.8 s, a problem
 * if the core does not answer.
 *
 * <p>The deadline of a change follows from {@code callerWaitingSince}, the time by the monotonic clock when its caller
 * was last known to wait, in microseconds: it has no effect later than 0.8 s after that.
 */
public final class PlatformCommands {
    /** How long to wait for the core. */
    private static final long REQUEST_TIMEOUT_MICROS = 800_000;

    private final CoreClient coreClient;

    /** Creates the commands; they are sent through the given client. */
    public PlatformCommands(CoreClient coreClient) {
        this.coreClient = coreClient;
    }

    /** Reads the current manifest and marks from their leader. */
    public void readManifest(Consumer<Either<Problem, Rows.Manifest>> onResult) {
        coreClient.request(
                Parts.MANIFEST_PART,
                new Queries.ManifestGet(),
                REQUEST_TIMEOUT_MICROS,
                result -> onResult.accept(
                        toResult(result).map(ignored -> Codec.decode(Rows.Manifest.class, result.body))));
    }

    /**
     * Puts a manifest in force. Its text must have been validated. RACE_LOST and BAD_MANIFEST are final; any other
     * problem leaves open whether it was accepted.
     *
     * @param number the number that the platform gives the manifest; 0 for the next one
     * @param source the text as the platform sent it, if that differs from {@code text}
     */
    public void putManifest(
            long baseVersion,
            long number,
            String text,
            String source,
            long callerWaitingSince,
            Consumer<Either<Problem, Void>> onResult) {
        var command = new Commands.ManifestPut();
        command.baseVersion = baseVersion;
        command.senderNumber = number;
        command.text = text;
        command.sourceText = source;
        submitChange(Parts.MANIFEST_PART, command, callerWaitingSince, onResult);
    }

    /** Marks a zone as emptied, or removes the mark. */
    public void markZone(
            String zone, boolean emptied, long callerWaitingSince, Consumer<Either<Problem, Void>> onResult) {
        var command = new Commands.ZoneMark();
        command.zone = zone;
        command.emptied = emptied;
        submitChange(Parts.MANIFEST_PART, command, callerWaitingSince, onResult);
    }

    /**
     * Reports a heartbeat of a runner. One that arrives too late to count, since a later process of the runner is
     * known, is reported as a success.
     */
    public void reportRunnerHeartbeat(
            Commands.RunnerPut command, long callerWaitingSince, Consumer<Either<Problem, Void>> onResult) {
        coreClient.requestUntil(
                Parts.partOf(command.service), command, callerWaitingSince + REQUEST_TIMEOUT_MICROS, result -> {
                    if (result.kind == ProblemKind.STALE_RUNNER.code()) onResult.accept(Either.right(null));
                    else if (result.kind == 0) onResult.accept(toResult(result));
                    else
                        onResult.accept(Either.left(Problem.of(
                                ProblemKind.NO_OWNER,
                                ProblemKind.of(result.kind).text() + ": " + result.detail)));
                });
    }

    /**
     * Marks a runner as leaving. The command goes to every part that may hold the runner's service. A runner that no
     * part knows counts as gone already.
     */
    public void markRunnerLeaving(String runner, long callerWaitingSince, Consumer<Either<Problem, Void>> onResult) {
        var outstanding = new AtomicInteger(Parts.PART_COUNT - 1);
        var failure = new AtomicReference<Problem>();
        for (var part = 0; part < Parts.PART_COUNT; part++) {
            if (part == Parts.MANIFEST_PART) continue;
            var command = new Commands.RunnerLeft();
            command.runner = runner;
            coreClient.requestUntil(part, command, callerWaitingSince + REQUEST_TIMEOUT_MICROS, result -> {
                toResult(result).peekLeft(failure::set);
                if (outstanding.decrementAndGet() == 0)
                    onResult.accept(failure.get() == null ? Either.right(null) : Either.left(failure.get()));
            });
        }
    }

    private void submitChange(
            int part, Object command, long callerWaitingSince, Consumer<Either<Problem, Void>> onResult) {
        coreClient.requestUntil(
                part,
                command,
                callerWaitingSince + REQUEST_TIMEOUT_MICROS,
                result -> onResult.accept(toResult(result)));
    }

    private static Either<Problem, Void> toResult(CommandResult result) {
        return result.kind == 0
                ? Either.right(null)
                : Either.left(new Problem(ProblemKind.of(result.kind), result.detail, result.retryAfterMicros));
    }
}
