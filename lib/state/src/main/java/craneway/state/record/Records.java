package craneway.state.record;

import craneway.model.problem.ProblemKind;
import craneway.state.message.Codec;
import craneway.state.message.Commands;
import craneway.state.message.Messages.CommandResult;
import craneway.state.part.StateMachine;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiFunction;

/**
 * The replicated state of one part. It applies committed commands to the {@link Rows}, each kind of command by its own
 * handler. It is not thread-safe.
 */
public final class Records implements StateMachine {
    /**
     * Versions are raised by this much on a rebuild, so that they exceed every version that the lost members may have
     * published.
     */
    private static final long REBUILD_VERSION_INCREMENT = 1_000;

    private final Map<Class<?>, BiFunction<Rows.PartState, Object, CommandResult>> handlers = new HashMap<>();
    private Rows.PartState rows = new Rows.PartState();

    /** Creates an empty state and registers the command handlers. */
    public Records() {
        register(Commands.MemberPut.class, MemberCommands::putMember);
        register(Commands.MemberLapsed.class, (r, c) -> MemberCommands.endMembership(r, c.name, c.incarnation, false));
        register(Commands.MemberRemoved.class, (r, c) -> MemberCommands.endMembership(r, c.name, c.incarnation, true));
        register(Commands.ManifestPut.class, ManifestCommands::putManifest);
        register(Commands.ServiceSync.class, ServiceCommands::syncService);
        register(Commands.RunnerPut.class, RunnerCommands::putRunner);
        register(Commands.RunnerMark.class, RunnerCommands::markRunner);
        register(Commands.RunnerLeft.class, RunnerCommands::markRunnerLeft);
        register(Commands.ClaimTake.class, ClaimCommands::takeClaim);
        register(Commands.ClaimFinish.class, ClaimCommands::finishClaim);
        register(Commands.AgeAdvance.class, ClaimCommands::advanceAge);
        register(Commands.TableStep.class, ServiceCommands::applyTableStep);
        register(Commands.StepRequest.class, StepCommands::askStep);
        register(Commands.StepMark.class, StepCommands::markStep);
        register(Commands.UnitDisplacement.class, StepCommands::displaceUnits);
        register(Commands.Rebuilt.class, (r, c) -> onRebuilt(r));
        register(Commands.ClaimsAccepted.class, (r, c) -> ClaimCommands.acceptClaims(r));
        register(Commands.ZoneMark.class, ManifestCommands::markZone);
        register(Commands.PlanPut.class, PlanCommands::putPlan);
        register(Commands.PlanConfirm.class, PlanCommands::confirmPlan);
        register(Commands.PlanStop.class, PlanCommands::stopPlan);
        register(Commands.QuotaTake.class, ClaimCommands::takeQuota);
    }

    @SuppressWarnings("unchecked")
    private <C> void register(Class<C> type, BiFunction<Rows.PartState, C, CommandResult> handler) {
        handlers.put(type, (rows, command) -> handler.apply(rows, (C) command));
    }

    /** Returns the current rows; callers must not change them. */
    public Rows.PartState rows() {
        return rows;
    }

    /**
     * Returns the recorded result of a command identified by the sending session and its sequence number, or null if no
     * such command is known to be applied.
     */
    public CommandResult recordedResult(long sessionId, long sequence) {
        return CommandSessions.recordedResult(rows, sessionId, sequence);
    }

    @Override
    public CommandResult apply(long index, byte[] command) {
        rows.lastIndex = index;
        var decoded = Codec.decodeTagged(command);
        return decoded instanceof Commands.IdentifiedCommand identified
                ? CommandSessions.applyOnce(rows, identified, this::handle)
                : handle(decoded);
    }

    private CommandResult handle(Object command) {
        var handler = handlers.get(command.getClass());
        return handler == null
                ? failure(ProblemKind.BAD_MESSAGE, command.getClass().getSimpleName() + " is no command")
                : handler.apply(rows, command);
    }

    @Override
    public byte[] encodeSnapshot() {
        return Codec.encode(rows);
    }

    @Override
    public void restoreSnapshot(byte[] snapshot) {
        rows = snapshot == null ? new Rows.PartState() : Codec.decode(Rows.PartState.class, snapshot);
    }

    /** Returns a result that reports success. */
    public static CommandResult ok() {
        return new CommandResult();
    }

    /** Returns a result that reports a problem. The sender may retry after one second if the problem is transient. */
    public static CommandResult failure(ProblemKind kind, String detail) {
        var result = new CommandResult();
        result.kind = kind.code();
        result.detail = detail;
        result.retryAfterMicros = kind.isTransient() ? 1_000_000 : 0;
        return result;
    }

    static CommandResult okWithVersion(long version) {
        var result = ok();
        result.version = version;
        return result;
    }

    private static CommandResult onRebuilt(Rows.PartState rows) {
        rows.claimsLost = true;
        rows.claimsLostAtAge = rows.ageMicros;
        rows.claims.values().forEach(claim -> {
            if (claim.state == Rows.Claim.OPEN) claim.state = Rows.Claim.UNKNOWN;
        });
        var manifest = rows.manifest;
        if (manifest.senderNumber == 0 && manifest.legacyHashes.containsKey(manifest.version))
            manifest.senderNumber = manifest.version;
        manifest.version += manifest.version == 0 ? 0 : REBUILD_VERSION_INCREMENT;
        manifest.topicVersion = rows.lastIndex;
        for (var service : rows.services.values()) {
            service.tableVersion += REBUILD_VERSION_INCREMENT;
            service.topicVersion = rows.lastIndex;
        }
        return ok();
    }
}
