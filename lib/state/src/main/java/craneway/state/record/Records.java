package craneway.state.record;

import craneway.model.problem.ProblemKind;
import craneway.state.message.Codec;
import craneway.state.message.Commands;
import craneway.state.message.Messages.CommandResult;
import craneway.state.part.StateMachine;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiFunction;

/** The replicated state of a part: applies committed commands, each family by a handler of its own. */
public final class Records implements StateMachine {
    private static final long REBUILT = 1_000;

    private final Map<Class<?>, BiFunction<Rows.PartState, Object, CommandResult>> handlers = new HashMap<>();
    private Rows.PartState rows = new Rows.PartState();

    public Records() {
        on(Commands.MemberPut.class, MemberCommands::memberPut);
        on(Commands.MemberLapsed.class, (r, c) -> MemberCommands.memberOut(r, c.name, c.incarnation, false));
        on(Commands.MemberRemoved.class, (r, c) -> MemberCommands.memberOut(r, c.name, c.incarnation, true));
        on(Commands.ManifestPut.class, ManifestCommands::manifestPut);
        on(Commands.ServiceSync.class, ServiceCommands::serviceSync);
        on(Commands.RunnerPut.class, RunnerCommands::runnerPut);
        on(Commands.RunnerMark.class, RunnerCommands::runnerMark);
        on(Commands.RunnerLeft.class, RunnerCommands::runnerLeft);
        on(Commands.ClaimTake.class, ClaimCommands::claim);
        on(Commands.ClaimFinish.class, ClaimCommands::finish);
        on(Commands.AgeAdvance.class, ClaimCommands::age);
        on(Commands.TableStep.class, ServiceCommands::tableStep);
        on(Commands.StepAsk.class, Steps::ask);
        on(Commands.StepMark.class, Steps::mark);
        on(Commands.UnitDisplacement.class, Steps::displace);
        on(Commands.Rebuilt.class, (r, c) -> rebuilt(r));
        on(Commands.ClaimsAccepted.class, (r, c) -> ClaimCommands.claimsAccepted(r));
        on(Commands.ZoneMark.class, ManifestCommands::zoneMark);
        on(Commands.PlanPut.class, PlanCommands::planPut);
        on(Commands.PlanConfirm.class, PlanCommands::planConfirm);
        on(Commands.PlanStop.class, PlanCommands::planStop);
        on(Commands.QuotaTake.class, ClaimCommands::quotaTake);
    }

    @SuppressWarnings("unchecked")
    private <C> void on(Class<C> type, BiFunction<Rows.PartState, C, CommandResult> handler) {
        handlers.put(type, (r, o) -> handler.apply(r, (C) o));
    }

    public Rows.PartState rows() {
        return rows;
    }

    /** What the command of this identity came to; null where it is not known to be applied. */
    public CommandResult recordedResult(long life, long sequence) {
        return Lives.verdict(rows, life, sequence);
    }

    @Override
    public CommandResult apply(long index, byte[] command) {
        rows.lastIndex = index;
        var c = Codec.decodeTagged(command);
        return c instanceof Commands.IdentifiedCommand f ? Lives.once(rows, f, this::handle) : handle(c);
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

    public static CommandResult ok() {
        return new CommandResult();
    }

    public static CommandResult failure(ProblemKind kind, String detail) {
        var v = new CommandResult();
        v.kind = kind.code();
        v.detail = detail;
        v.retryAfterMicros = kind.isTransient() ? 1_000_000 : 0;
        return v;
    }

    static CommandResult versioned(long version) {
        var v = ok();
        v.version = version;
        return v;
    }

    private static CommandResult rebuilt(Rows.PartState rows) {
        rows.claimsLost = true;
        rows.claimsLostAtAge = rows.ageMicros;
        rows.claims.values().forEach(c -> {
            if (c.state == Rows.Claim.OPEN) c.state = Rows.Claim.UNKNOWN;
        });
        var m = rows.manifest;
        if (m.senderNumber == 0 && m.legacyHashes.containsKey(m.version)) m.senderNumber = m.version;
        m.version += m.version == 0 ? 0 : REBUILT;
        m.topicVersion = rows.lastIndex;
        for (var s : rows.services.values()) {
            s.tableVersion += REBUILT;
            s.topicVersion = rows.lastIndex;
        }
        return ok();
    }
}
