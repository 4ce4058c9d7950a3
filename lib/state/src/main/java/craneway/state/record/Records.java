package craneway.state.record;

import craneway.model.problem.Kind;
import craneway.state.message.Codec;
import craneway.state.message.Commands;
import craneway.state.message.Messages.CommandResult;
import craneway.state.part.StateMachine;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiFunction;

/** The replicated state of a part: applies committed commands, each family by a handler of its own. */
public final class Records implements StateMachine {
    private static final long REBUILD_VERSION_INCREMENT = 1_000;

    private final Map<Class<?>, BiFunction<Rows.Whole, Object, CommandResult>> handlers = new HashMap<>();
    private Rows.Whole rows = new Rows.Whole();

    public Records() {
        register(Commands.MemberPut.class, MemberCommands::putMember);
        register(Commands.MemberLapsed.class, (r, c) -> MemberCommands.endMembership(r, c.name, c.incarnation, false));
        register(Commands.MemberGone.class, (r, c) -> MemberCommands.endMembership(r, c.name, c.incarnation, true));
        register(Commands.ManifestPut.class, ManifestCommands::putManifest);
        register(Commands.ServiceSync.class, ServiceCommands::syncService);
        register(Commands.RunnerPut.class, RunnerCommands::putRunner);
        register(Commands.RunnerMark.class, RunnerCommands::markRunner);
        register(Commands.RunnerLeft.class, RunnerCommands::markRunnerLeft);
        register(Commands.Claim.class, ClaimCommands::takeClaim);
        register(Commands.Finish.class, ClaimCommands::finishClaim);
        register(Commands.Age.class, ClaimCommands::advanceAge);
        register(Commands.TableStep.class, ServiceCommands::applyTableStep);
        register(Commands.StepAsk.class, StepCommands::askStep);
        register(Commands.StepMark.class, StepCommands::markStep);
        register(Commands.Displace.class, StepCommands::displaceUnits);
        register(Commands.Rebuilt.class, (r, c) -> onRebuilt(r));
        register(Commands.ClaimsAccepted.class, (r, c) -> ClaimCommands.acceptClaims(r));
        register(Commands.ZoneMark.class, ManifestCommands::markZone);
        register(Commands.PlanPut.class, PlanCommands::putPlan);
        register(Commands.PlanConfirm.class, PlanCommands::confirmPlan);
        register(Commands.PlanStop.class, PlanCommands::stopPlan);
        register(Commands.QuotaTake.class, ClaimCommands::takeQuota);
    }

    @SuppressWarnings("unchecked")
    private <C> void register(Class<C> type, BiFunction<Rows.Whole, C, CommandResult> handler) {
        handlers.put(type, (r, o) -> handler.apply(r, (C) o));
    }

    public Rows.Whole rows() {
        return rows;
    }

    /** What the command of this identity came to; null where it is not known to be applied. */
    public CommandResult verdict(long life, long sequence) {
        return CommandSessions.recordedResult(rows, life, sequence);
    }

    @Override
    public CommandResult apply(long index, byte[] command) {
        rows.index = index;
        var c = Codec.readTagged(command);
        return c instanceof Commands.Fenced f ? CommandSessions.applyOnce(rows, f, this::handle) : handle(c);
    }

    private CommandResult handle(Object command) {
        var handler = handlers.get(command.getClass());
        return handler == null
                ? failure(Kind.BAD_MESSAGE, command.getClass().getSimpleName() + " is no command")
                : handler.apply(rows, command);
    }

    @Override
    public byte[] snapshot() {
        return Codec.write(rows);
    }

    @Override
    public void load(byte[] snapshot) {
        rows = snapshot == null ? new Rows.Whole() : Codec.read(Rows.Whole.class, snapshot);
    }

    public static CommandResult ok() {
        return new CommandResult();
    }

    public static CommandResult failure(Kind kind, String detail) {
        var v = new CommandResult();
        v.kind = kind.code();
        v.detail = detail;
        v.retryAfter = kind.transientState() ? 1_000_000 : 0;
        return v;
    }

    static CommandResult okWithVersion(long version) {
        var v = ok();
        v.version = version;
        return v;
    }

    private static CommandResult onRebuilt(Rows.Whole rows) {
        rows.claimsLost = true;
        rows.lostSince = rows.age;
        rows.claims.values().forEach(c -> {
            if (c.state == Rows.Claim.OPEN) c.state = Rows.Claim.UNKNOWN;
        });
        var m = rows.manifest;
        if (m.number == 0 && m.taken.containsKey(m.version)) m.number = m.version;
        m.version += m.version == 0 ? 0 : REBUILD_VERSION_INCREMENT;
        m.topicVersion = rows.index;
        for (var s : rows.services.values()) {
            s.tableVersion += REBUILD_VERSION_INCREMENT;
            s.newsVersion = rows.index;
        }
        return ok();
    }
}
