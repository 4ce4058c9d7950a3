package craneway.control.operator;

import craneway.control.node.CoreClient;
import craneway.control.node.Port;
import craneway.control.store.PartStatus;
import craneway.control.store.RolloutStatus;
import craneway.model.problem.Problem;
import craneway.model.problem.ProblemKind;
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

/**
 * Executes the requests of operators against the core: manifests, plans and their rollout, status, and lost claims.
 * Every callback gets exactly one result. Safe for several threads; the owner calls {@link #tick} regularly.
 */
public final class OperatorCommands {
    /** How long to wait for the answer to a query or command. */
    private static final long REQUEST_TIMEOUT_MICROS = 5_000_000;

    /** How long to wait for a change to reach the members before the state is reported as it is. */
    private static final long ROLLOUT_TIMEOUT_MICROS = 3_000_000;

    /** How often the state of a rollout is queried. */
    private static final long ROLLOUT_POLL_MICROS = 50_000;

    /**
     * How far a change has reached the members.
     *
     * @param version the number of the manifest, or the id of the plan
     * @param unconfirmedMembers members that have not confirmed the change
     * @param routersStillActing those of them that are routers and may still act on the old state
     */
    public record RolloutResult(long version, List<String> unconfirmedMembers, List<String> routersStillActing) {}

    /** A caller that waits for a change to reach the members. */
    private static final class RolloutWatch {
        long topicVersion;
        long version;
        String zone;
        long nextPollAt;
        long deadline;
        Predicate<RolloutStatus> doneWhen;
        RolloutStatus lastStatus = new RolloutStatus();
        Consumer<RolloutResult> onResult;
    }

    private final Port port;
    private final CoreClient coreClient;
    private final ConcurrentLinkedQueue<RolloutWatch> openWatches = new ConcurrentLinkedQueue<>();

    /** Creates an operator that sends through the given client. */
    public OperatorCommands(Port port, CoreClient coreClient) {
        this.port = port;
        this.coreClient = coreClient;
    }

    /** Queries the state of the rollouts that callers wait for. */
    public void tick(long now) {
        for (var watch : openWatches) {
            if (now >= watch.deadline) finish(watch);
            else if (now >= watch.nextPollAt) poll(watch, now);
        }
    }

    /** Reports the state of a rollout to its caller, once. */
    private void finish(RolloutWatch watch) {
        if (openWatches.remove(watch))
            watch.onResult.accept(new RolloutResult(
                    watch.version, watch.lastStatus.unconfirmedMembers, watch.lastStatus.routersStillActing));
    }

    /** Queries the state of a rollout and finishes it if it has come far enough. */
    private void poll(RolloutWatch watch, long now) {
        watch.nextPollAt = now + ROLLOUT_POLL_MICROS;
        var query = new Queries.RolloutGet();
        query.version = watch.topicVersion;
        query.zone = watch.zone;
        coreClient.request(Parts.MANIFEST_PART, query, REQUEST_TIMEOUT_MICROS, result -> {
            if (result.kind != 0) return;
            watch.lastStatus = Codec.decode(RolloutStatus.class, result.body);
            if (watch.doneWhen.test(watch.lastStatus)) finish(watch);
        });
    }

    /**
     * Reports how far a version of the manifest topic has come, once {@code doneWhen} accepts the state or the timeout
     * has passed.
     */
    private void awaitRollout(
            long topicVersion,
            long version,
            String zone,
            Predicate<RolloutStatus> doneWhen,
            Consumer<RolloutResult> onResult) {
        var watch = new RolloutWatch();
        watch.topicVersion = topicVersion;
        watch.version = version;
        watch.zone = zone;
        watch.doneWhen = doneWhen;
        watch.onResult = onResult;
        watch.deadline = port.now() + ROLLOUT_TIMEOUT_MICROS;
        openWatches.add(watch);
    }

    private static Problem toProblem(CommandResult result) {
        return new Problem(ProblemKind.of(result.kind), result.detail, result.retryAfterMicros);
    }

    /** Reads the current manifest and marks from their leader. */
    public void readManifest(Consumer<Either<Problem, Rows.Manifest>> onResult) {
        coreClient.request(
                Parts.MANIFEST_PART,
                new Queries.ManifestGet(),
                REQUEST_TIMEOUT_MICROS,
                result -> onResult.accept(
                        result.kind == 0
                                ? Either.right(Codec.decode(Rows.Manifest.class, result.body))
                                : Either.left(toProblem(result))));
    }

    /** Sends a manifest that was written against {@code baseVersion}, and waits for all members to confirm it. */
    public void putManifest(long baseVersion, String text, Consumer<Either<Problem, RolloutResult>> onResult) {
        var command = new Commands.ManifestPut();
        command.baseVersion = baseVersion;
        command.text = text;
        coreClient.request(Parts.MANIFEST_PART, command, REQUEST_TIMEOUT_MICROS, result -> {
            if (result.kind != 0) onResult.accept(Either.left(toProblem(result)));
            else
                awaitRollout(
                        result.version,
                        Long.parseLong(result.detail),
                        "",
                        status -> status.unconfirmedMembers.isEmpty(),
                        rollout -> onResult.accept(Either.right(rollout)));
        });
    }

    /** Waits until no member may still act on a manifest older than {@code version}. */
    public void watchManifest(long version, Consumer<Either<Problem, RolloutResult>> onResult) {
        readManifest(manifest -> {
            if (manifest.isLeft()) onResult.accept(Either.left(manifest.getLeft()));
            else if (manifest.get().version < version)
                onResult.accept(Either.left(Problem.of(
                        ProblemKind.BAD_OPERATOR_INPUT,
                        "manifest " + version + " does not exist; the current one is " + manifest.get().version)));
            else
                awaitRollout(
                        manifest.get().topicVersion,
                        version,
                        "",
                        status -> status.routersStillActing.isEmpty(),
                        rollout -> onResult.accept(Either.right(rollout)));
        });
    }

    /** Reads the status of all parts; parts that do not answer are left out. */
    public void readStatus(Consumer<List<PartStatus>> onResult) {
        var statusByPart = new PartStatus[Parts.PART_COUNT];
        var outstanding = new int[] {Parts.PART_COUNT};
        for (var index = 0; index < Parts.PART_COUNT; index++) {
            var part = index;
            coreClient.request(index, new Queries.Status(), REQUEST_TIMEOUT_MICROS, result -> {
                synchronized (statusByPart) {
                    if (result.kind == 0) statusByPart[part] = Codec.decode(PartStatus.class, result.body);
                    if (--outstanding[0] > 0) return;
                }
                onResult.accept(reachedParts(statusByPart));
            });
        }
    }

    /** The statuses of the parts that answered. */
    private static List<PartStatus> reachedParts(PartStatus[] statusByPart) {
        var reached = new ArrayList<PartStatus>();
        for (var status : statusByPart) if (status != null) reached.add(status);
        return reached;
    }

    /** Plans what an intent would change, and stores the plan for confirmation. Fails if a part does not answer. */
    public void createPlan(Intent intent, Consumer<Either<Problem, Plan>> onResult) {
        readStatus(parts -> {
            if (parts.size() < Parts.PART_COUNT) {
                onResult.accept(Either.left(Problem.of(
                        ProblemKind.NO_OWNER,
                        "only " + parts.size() + " of " + Parts.PART_COUNT + " parts can be reached")));
                return;
            }
            var plan = IntentPlanner.createPlan(intent, parts.get(Parts.MANIFEST_PART).manifest, parts);
            if (plan.isLeft()) onResult.accept(plan);
            else putPlan(plan.get(), onResult);
        });
    }

    /** Estimates for each cell whether it could be emptied. Fails if a part does not answer. */
    public void estimateDrains(Consumer<Either<Problem, List<DrainEstimate>>> onResult) {
        readStatus(parts -> {
            if (parts.size() < Parts.PART_COUNT)
                onResult.accept(Either.left(Problem.of(
                        ProblemKind.NO_OWNER,
                        "only " + parts.size() + " of " + Parts.PART_COUNT + " parts can be reached")));
            else onResult.accept(Either.right(DrainEstimate.of(parts.get(Parts.MANIFEST_PART).manifest, parts)));
        });
    }

    /** Stores a plan and sets the id that the leader gives it. */
    private void putPlan(Plan plan, Consumer<Either<Problem, Plan>> onResult) {
        var command = new Commands.PlanPut();
        command.plan = plan;
        coreClient.request(Parts.MANIFEST_PART, command, REQUEST_TIMEOUT_MICROS, result -> {
            plan.id = result.version;
            onResult.accept(result.kind == 0 ? Either.right(plan) : Either.left(toProblem(result)));
        });
    }

    /** Reads a plan. */
    public void readPlan(long planId, Consumer<Either<Problem, Plan>> onResult) {
        var query = new Queries.PlanGet();
        query.plan = planId;
        coreClient.request(
                Parts.MANIFEST_PART,
                query,
                REQUEST_TIMEOUT_MICROS,
                result -> onResult.accept(
                        result.kind == 0
                                ? Either.right(Codec.decode(Plan.class, result.body))
                                : Either.left(toProblem(result))));
    }

    /** Confirms a plan, which puts its marks in force, and waits until no router may still act on the old state. */
    public void confirmPlan(long planId, Consumer<Either<Problem, RolloutResult>> onResult) {
        readPlan(planId, found -> {
            if (found.isLeft()) {
                onResult.accept(Either.left(found.getLeft()));
                return;
            }
            var command = new Commands.PlanConfirm();
            command.plan = planId;
            coreClient.request(Parts.MANIFEST_PART, command, REQUEST_TIMEOUT_MICROS, result -> {
                if (result.kind != 0) onResult.accept(Either.left(toProblem(result)));
                else
                    awaitRollout(
                            result.version,
                            planId,
                            markedZone(found.get()),
                            status -> status.routersStillActing.isEmpty(),
                            rollout -> onResult.accept(Either.right(rollout)));
            });
        });
    }

    /** Waits until no router may still act on the state before a confirmed plan. */
    public void watchPlan(long planId, Consumer<Either<Problem, RolloutResult>> onResult) {
        readPlan(planId, found -> {
            if (found.isLeft()) onResult.accept(Either.left(found.getLeft()));
            else if (found.get().state != Plan.CONFIRMED)
                onResult.accept(Either.left(Problem.of(
                        ProblemKind.STALE_PLAN,
                        "plan " + planId + " is " + found.get().stateName())));
            else
                awaitRollout(
                        found.get().confirmedTopicVersion,
                        planId,
                        markedZone(found.get()),
                        status -> status.routersStillActing.isEmpty(),
                        rollout -> onResult.accept(Either.right(rollout)));
        });
    }

    /**
     * The zone that a plan marks, whose routers get their grace before the change counts as complete; empty if it
     * marks none.
     */
    private static String markedZone(Plan plan) {
        for (var text : plan.marks.keySet()) {
            var key = MarkKey.parse(text);
            if (key != null && key.target() == MarkKey.Target.ZONE) return key.name();
        }
        return "";
    }

    /**
     * Accepts at all parts that claims may have been lost in a rebuild, so that run-once work is accepted again.
     * Returns the number of parts.
     */
    public void acceptClaims(Consumer<Either<Problem, Integer>> onResult) {
        var outstanding = new int[] {Parts.PART_COUNT};
        var failure = new CommandResult[1];
        for (var part = 0; part < Parts.PART_COUNT; part++)
            coreClient.request(part, new Commands.ClaimsAccepted(), REQUEST_TIMEOUT_MICROS, result -> {
                synchronized (outstanding) {
                    if (result.kind != 0) failure[0] = result;
                    if (--outstanding[0] > 0) return;
                }
                onResult.accept(
                        failure[0] == null ? Either.right(Parts.PART_COUNT) : Either.left(toProblem(failure[0])));
            });
    }

    /** Stops a plan. */
    public void stopPlan(long planId, Consumer<Either<Problem, Long>> onResult) {
        var command = new Commands.PlanStop();
        command.plan = planId;
        command.cause = "stopped by an operator";
        coreClient.request(
                Parts.MANIFEST_PART,
                command,
                REQUEST_TIMEOUT_MICROS,
                result -> onResult.accept(result.kind == 0 ? Either.right(planId) : Either.left(toProblem(result))));
    }
}
