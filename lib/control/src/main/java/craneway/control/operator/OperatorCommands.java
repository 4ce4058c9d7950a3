package craneway.control.operator;

import craneway.control.node.CoreClient;
import craneway.control.node.Port;
import craneway.control.store.PartStatus;
import craneway.control.store.RolloutStatus;
import craneway.model.problem.ProblemKind;
import craneway.model.problem.Problem;
import craneway.model.unit.Parts;
import craneway.state.message.Codec;
import craneway.state.message.Commands;
import craneway.state.message.MarkKey;
import craneway.state.message.Messages.CommandResult;
import craneway.state.message.Plan;
import craneway.state.message.Queries;
import craneway.state.record.Rows;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import java.util.function.Predicate;

public final class OperatorCommands {
    private static final long TIMEOUT = 5_000_000, SPREAD = 3_000_000, LOOK = 50_000;

    public record RolloutResult(long version, List<String> unconfirmedMembers, List<String> routersStillActing) {}

    private static final class Watch {
        long topic;
        long version;
        String zone;
        long due;
        long until;
        Predicate<RolloutStatus> enough;
        RolloutStatus last = new RolloutStatus();
        Consumer<RolloutResult> then;
    }

    private final Port port;
    private final CoreClient coreClient;
    private final ConcurrentLinkedQueue<Watch> watches = new ConcurrentLinkedQueue<>();

    public OperatorCommands(Port port, CoreClient coreClient) {
        this.port = port;
        this.coreClient = coreClient;
    }

    public void tick(long now) {
        for (var w : watches) {
            if (now >= w.until) close(w);
            else if (now >= w.due) look(w, now);
        }
    }

    private void close(Watch w) {
        if (watches.remove(w)) w.then.accept(new RolloutResult(w.version, w.last.unconfirmedMembers, w.last.routersStillActing));
    }

    private void look(Watch w, long now) {
        w.due = now + LOOK;
        var q = new Queries.RolloutGet();
        q.version = w.topic;
        q.zone = w.zone;
        coreClient.request(Parts.MANIFEST_PART, q, TIMEOUT, v -> {
            if (v.kind != 0) return;
            w.last = Codec.decode(RolloutStatus.class, v.body);
            if (w.enough.test(w.last)) close(w);
        });
    }

    private void watchPlan(long topic, long version, String zone, Predicate<RolloutStatus> enough, Consumer<RolloutResult> then) {
        var w = new Watch();
        w.topic = topic;
        w.version = version;
        w.zone = zone;
        w.enough = enough;
        w.then = then;
        w.until = port.now() + SPREAD;
        watches.add(w);
    }

    private static Problem problem(CommandResult v) {
        return new Problem(ProblemKind.of(v.kind), v.detail, v.retryAfterMicros);
    }

    public void readManifest(Consumer<Either<Problem, Rows.Manifest>> then) {
        coreClient.request(
                Parts.MANIFEST_PART,
                new Queries.ManifestGet(),
                TIMEOUT,
                v -> then.accept(
                        v.kind == 0 ? Either.right(Codec.decode(Rows.Manifest.class, v.body)) : Either.left(problem(v))));
    }

    public void putManifest(long base, String text, Consumer<Either<Problem, RolloutResult>> then) {
        var c = new Commands.ManifestPut();
        c.baseVersion = base;
        c.text = text;
        coreClient.request(Parts.MANIFEST_PART, c, TIMEOUT, v -> {
            if (v.kind != 0) then.accept(Either.left(problem(v)));
            else
                watchPlan(
                        v.version,
                        Long.parseLong(v.detail),
                        "",
                        s -> s.unconfirmedMembers.isEmpty(),
                        r -> then.accept(Either.right(r)));
        });
    }

    public void watchManifest(long version, Consumer<Either<Problem, RolloutResult>> then) {
        readManifest(m -> {
            if (m.isLeft()) then.accept(Either.left(m.getLeft()));
            else if (m.get().version < version)
                then.accept(Either.left(Problem.of(
                        ProblemKind.BAD_OPERATOR_INPUT, "no manifest " + version + "; in force is " + m.get().version)));
            else watchPlan(m.get().topicVersion, version, "", s -> s.routersStillActing.isEmpty(), r -> then.accept(Either.right(r)));
        });
    }

    public void readStatus(Consumer<List<PartStatus>> then) {
        var all = new PartStatus[Parts.COUNT];
        var open = new int[] {Parts.COUNT};
        for (var p = 0; p < Parts.COUNT; p++) {
            var part = p;
            coreClient.request(p, new Queries.Status(), TIMEOUT, v -> {
                synchronized (all) {
                    if (v.kind == 0) all[part] = Codec.decode(PartStatus.class, v.body);
                    if (--open[0] > 0) return;
                }
                then.accept(reached(all));
            });
        }
    }

    private static List<PartStatus> reached(PartStatus[] all) {
        var r = new ArrayList<PartStatus>();
        for (var s : all) if (s != null) r.add(s);
        return r;
    }

    public void createPlan(Intent i, Consumer<Either<Problem, Plan>> then) {
        readStatus(parts -> {
            if (parts.size() < Parts.COUNT) {
                then.accept(Either.left(Problem.of(
                        ProblemKind.NO_OWNER, "only " + parts.size() + " of " + Parts.COUNT + " parts can be reached")));
                return;
            }
            var p = IntentPlanner.createPlan(i, parts.get(Parts.MANIFEST_PART).manifest, parts);
            if (p.isLeft()) then.accept(p);
            else put(p.get(), then);
        });
    }

    public void estimateDrains(Consumer<Either<Problem, List<DrainEstimate>>> then) {
        readStatus(parts -> {
            if (parts.size() < Parts.COUNT)
                then.accept(Either.left(Problem.of(
                        ProblemKind.NO_OWNER, "only " + parts.size() + " of " + Parts.COUNT + " parts can be reached")));
            else then.accept(Either.right(DrainEstimate.of(parts.get(Parts.MANIFEST_PART).manifest, parts)));
        });
    }

    private void put(Plan p, Consumer<Either<Problem, Plan>> then) {
        var c = new Commands.PlanPut();
        c.plan = p;
        coreClient.request(Parts.MANIFEST_PART, c, TIMEOUT, v -> {
            p.id = v.version;
            then.accept(v.kind == 0 ? Either.right(p) : Either.left(problem(v)));
        });
    }

    public void readPlan(long plan, Consumer<Either<Problem, Plan>> then) {
        var q = new Queries.PlanGet();
        q.plan = plan;
        coreClient.request(
                Parts.MANIFEST_PART,
                q,
                TIMEOUT,
                v -> then.accept(v.kind == 0 ? Either.right(Codec.decode(Plan.class, v.body)) : Either.left(problem(v))));
    }

    public void confirmPlan(long plan, Consumer<Either<Problem, RolloutResult>> then) {
        readPlan(plan, p -> {
            if (p.isLeft()) {
                then.accept(Either.left(p.getLeft()));
                return;
            }
            var c = new Commands.PlanConfirm();
            c.plan = plan;
            coreClient.request(Parts.MANIFEST_PART, c, TIMEOUT, v -> {
                if (v.kind != 0) then.accept(Either.left(problem(v)));
                else watchPlan(v.version, plan, zone(p.get()), s -> s.routersStillActing.isEmpty(), r -> then.accept(Either.right(r)));
            });
        });
    }

    public void watchPlan(long plan, Consumer<Either<Problem, RolloutResult>> then) {
        readPlan(plan, p -> {
            if (p.isLeft()) then.accept(Either.left(p.getLeft()));
            else if (p.get().state != Plan.CONFIRMED)
                then.accept(Either.left(Problem.of(
                        ProblemKind.STALE_PLAN, "plan " + plan + " is " + p.get().stateName())));
            else
                watchPlan(
                        p.get().confirmedTopicVersion,
                        plan,
                        zone(p.get()),
                        s -> s.routersStillActing.isEmpty(),
                        r -> then.accept(Either.right(r)));
        });
    }

    private static String zone(Plan p) {
        for (var k : p.marks.keySet()) {
            var key = MarkKey.parse(k);
            if (key != null && key.target() == MarkKey.Target.ZONE) return key.name();
        }
        return "";
    }

    public void acceptClaims(Consumer<Either<Problem, Integer>> then) {
        var open = new int[] {Parts.COUNT};
        var wrong = new CommandResult[1];
        for (var p = 0; p < Parts.COUNT; p++)
            coreClient.request(p, new Commands.ClaimsAccepted(), TIMEOUT, v -> {
                synchronized (open) {
                    if (v.kind != 0) wrong[0] = v;
                    if (--open[0] > 0) return;
                }
                then.accept(wrong[0] == null ? Either.right(Parts.COUNT) : Either.left(problem(wrong[0])));
            });
    }

    public void stopPlan(long plan, Consumer<Either<Problem, Long>> then) {
        var c = new Commands.PlanStop();
        c.plan = plan;
        c.cause = "stopped by an operator";
        coreClient.request(
                Parts.MANIFEST_PART,
                c,
                TIMEOUT,
                v -> then.accept(v.kind == 0 ? Either.right(plan) : Either.left(problem(v))));
    }
}
