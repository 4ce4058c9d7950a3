package craneway.data.request;

import craneway.control.node.CoreClient;
import craneway.control.node.Membership;
import craneway.control.node.NodeDirectory;
import craneway.control.node.Port;
import craneway.data.runner.CellSignals;
import craneway.data.runner.RunnerLoads;
import craneway.model.event.Event;
import craneway.model.problem.Problem;
import craneway.model.problem.ProblemKind;
import craneway.model.problem.WorkOutcome;
import craneway.model.unit.Hash;
import craneway.model.unit.Parts;
import craneway.state.message.Commands;
import craneway.state.message.Messages.CommandResult;
import craneway.state.record.Rows;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Executes the requests of one router, from their acceptance to the end of the response. It asks the
 * {@link RequestDecider} where a request runs, takes quota and claims from the core, counts and limits retries, buffers
 * requests that cannot run yet, and ends requests whose deadline has passed or whose runner or router is lost.
 *
 * <p>Work that may run only once needs a claim in the core before it is sent to a runner, and gets no second
 * attempt once a runner may have started it. All other work may be retried until its response has begun.
 *
 * <p>Results of calls are reported with the request's id and the attempt's number; those of an earlier attempt or
 * of a request that is over are ignored. Times are microseconds of the steady clock. Thread-safe: each request is
 * guarded by the lock of its {@link RequestState}.
 */
public final class RequestExecutor {
    /** How long a cell goes on serving requests after this router first saw the mark that closes it. */
    public static final long DRAIN_DURATION_MICROS = 1_500_000;

    /** A router takes a tenth of a tenant's quota per minute from the core at a time. */
    private static final int QUOTA_GRANT_DIVISOR = 10;

    /** A request waits for a runner or a retry at most this long. */
    private static final long MAX_WAIT_MICROS = 5_000_000;

    /** A request waits for a runner or a retry at most a quarter of the time to its deadline. */
    private static final long WAIT_DEADLINE_DIVISOR = 4;

    /** Longest wait for the core's result on a claim or a quota. */
    private static final long MAX_CORE_WAIT_MICROS = 3_000_000;

    /**
     * Shortest wait for the core's result on a claim or a quota, also when the request may hardly wait any longer.
     */
    private static final long MIN_CORE_WAIT_MICROS = 300_000;

    /** How long the end of a claim is repeated to the core; the request does not wait for it. */
    private static final long FINISH_TIMEOUT_MICROS = 60_000_000;

    /** Pause before a request is decided again after another router declined it with {@link ProblemKind#NOT_HOME}. */
    private static final long NOT_HOME_RECHECK_MICROS = 100_000;

    /** After this time without progress, it is checked whether the runner or router that has a request is lost. */
    private static final long LOSS_CHECK_AFTER_MICROS = 3_000_000;

    private final Port port;
    private final NodeDirectory directory;
    private final Membership membership;
    private final CoreClient coreClient;
    private final RunnerLoads loads;
    private final RequestDecider decider;
    private final RetryTokenBucket retryTokens = new RetryTokenBucket();
    private final RequestCounters counters = new RequestCounters();
    private final Map<Long, RequestState> requestsById = new ConcurrentHashMap<>();
    private final Map<String, ConcurrentLinkedQueue<RequestState>> buffersByService = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> bufferedByService = new ConcurrentHashMap<>();
    private final Map<String, Long> closedSince = new ConcurrentHashMap<>();
    private final Map<String, Rows.Service> seenServices = new ConcurrentHashMap<>();
    private final CellSignals cellSignals = new CellSignals();
    private final UsageLog usageLog = new UsageLog();
    private final QuotaGrants quotaGrants = new QuotaGrants();
    private final AtomicLong lastClaimNumber = new AtomicLong();
    private volatile boolean stopping;

    /** Creates the executor of the router whose node is {@link NodeDirectory#self}. */
    public RequestExecutor(
            Port port, NodeDirectory directory, Membership membership, CoreClient coreClient, RunnerLoads loads) {
        this.port = port;
        this.directory = directory;
        this.membership = membership;
        this.coreClient = coreClient;
        this.loads = loads;
        this.decider = new RequestDecider(directory.self().name, directory.self().zone, loads);
    }

    /** Returns the running totals for the metrics. */
    public RequestCounters counters() {
        return counters;
    }

    /** Returns the signals of the cells that are still to be reported to the core. */
    public CellSignals cellSignals() {
        return cellSignals;
    }

    /** Returns the usage records of the requests that ended. */
    public UsageLog usageLog() {
        return usageLog;
    }

    /** Adds a usage record, unless the request was forwarded: the other router then has one. */
    private void recordUsage(RequestState state, String outcome) {
        if (state.sentToRouter) return;
        var manifest = membership.view().manifest();
        usageLog.add(state, manifest == null ? "" : manifest.regionOfZone(directory.self().zone), outcome, port.now());
    }

    /** Returns the number of requests that are not over. */
    public int openRequests() {
        return requestsById.size();
    }

    /** Declines all further requests; those already accepted go on, but no longer wait for a runner. */
    public void stopAccepting() {
        stopping = true;
    }

    /** Accepts a request; everything that is to be done for it goes to the output. */
    public void accept(Request request, RequestOutput output) {
        counters.accepted.incrementAndGet();
        if (request.forwarded()) counters.forwardedIn.incrementAndGet();
        earnRetryTokens(request.service());
        var state = new RequestState(request, output, port.now());
        requestsById.put(request.id(), state);
        synchronized (state) {
            if (stopping) end(state, Problem.of(ProblemKind.STOPPING));
            else decide(state);
        }
    }

    private void earnRetryTokens(String service) {
        var routers = 0;
        for (var node : membership.view().membersByPart().get(Parts.partOf(service))) if (node.isRouter()) routers++;
        retryTokens.addForRequest(Math.max(1, routers));
    }

    private static long maxWait(RequestState state) {
        return Math.min(MAX_WAIT_MICROS, (state.request.deadlineMicros() - state.acceptedAt) / WAIT_DEADLINE_DIVISOR);
    }

    /** Returns how much longer the request may wait; negative if its time to wait is over. */
    private static long remainingWait(RequestState state, long now) {
        return state.acceptedAt + maxWait(state) - now;
    }

    private void decide(RequestState state) {
        var now = port.now();
        var decision = decider.decide(membership.view(), state.request, state.excluded, closedSince, now);
        if (decision instanceof Decision.Serve serve) dispatch(state, serve);
        else if (decision instanceof Decision.Forward forward) forward(state, forward);
        else if (decision instanceof Decision.Buffer buffer) buffer(state, buffer.problemIfExpired(), now);
        else if (decision instanceof Decision.Decline decline) end(state, decline.problem());
    }

    /** Sends the request to a runner, or first takes quota and a claim; the decision is then made again. */
    private void dispatch(RequestState state, Decision.Serve decision) {
        state.unit = decision.unit();
        state.runOnce = decision.runOnce();
        if (!takeQuota(state)) {
            requestQuota(state, decision);
            return;
        }
        if (state.runOnce && !state.hasClaim) {
            requestClaim(state, decision);
            return;
        }
        if (!state.transitionTo(RequestPhase.DISPATCHED)) return;
        // Served where it arrived, a request earns twice here; a forwarded one earns once at each of its two routers.
        if (!state.request.forwarded() && state.attempt == 0) earnRetryTokens(state.request.service());
        state.attempt++;
        state.lastProgressAt = port.now();
        state.runner = decision.runner();
        state.lastRunnerName = state.runner.name;
        state.sentToRouter = false;
        state.dispatchedAt = state.lastProgressAt;
        loads.recordStart(state.runner.name);
        counters.dispatched.incrementAndGet();
        state.output.dispatchToRunner(state.attempt, state.runner);
    }

    private void forward(RequestState state, Decision.Forward decision) {
        state.runOnce = decision.runOnce();
        if (state.hasClaim) {
            releaseClaimThenDecide(state);
            return;
        }
        if (!state.transitionTo(RequestPhase.FORWARDED)) return;
        state.attempt++;
        state.lastProgressAt = port.now();
        state.router = decision.router().name;
        state.sentToRouter = true;
        counters.forwardedOut.incrementAndGet();
        state.output.forwardToRouter(state.attempt, decision.router());
    }

    /**
     * Puts the request into the buffer or keeps it there; ends it if the buffer is full or its time to wait is
     * over.
     */
    private void buffer(RequestState state, Problem otherwise, long now) {
        var service = membership.view().manifest().service(state.request.service());
        var buffered = bufferedByService.computeIfAbsent(state.request.service(), k -> new AtomicInteger());
        var full = state.phase != RequestPhase.BUFFERED && buffered.get() >= service.maxBufferedRequests();
        if (full || remainingWait(state, now) < 0 || stopping && otherwise.kind() == ProblemKind.NO_RUNNER) {
            end(state, full ? Problem.of(ProblemKind.BUSY) : otherwise);
            return;
        }
        if (state.phase == RequestPhase.BUFFERED || !state.transitionTo(RequestPhase.BUFFERED)) return;
        counters.buffered.incrementAndGet();
        buffered.incrementAndGet();
        buffersByService
                .computeIfAbsent(state.request.service(), k -> new ConcurrentLinkedQueue<>())
                .add(state);
    }

    /** Returns whether the request has its quota, or takes it from what the core granted to this router before. */
    private boolean takeQuota(RequestState state) {
        if (state.quotaTaken) return true;
        var tenant = membership.view().manifest().tenant(state.request.tenant());
        state.quotaTaken = tenant == null
                || tenant.quotaPerMinute() == 0
                || quotaGrants.take(state.request.service() + "/" + state.request.tenant(), port.now());
        return state.quotaTaken;
    }

    private void requestQuota(RequestState state, Decision.Serve decision) {
        if (!state.transitionTo(RequestPhase.AWAITING_CORE)) return;
        var command = new Commands.QuotaTake();
        command.service = state.request.service();
        command.tenant = state.request.tenant();
        command.unit = decision.unit();
        command.tableVersion = decision.tableVersion();
        command.region = membership.view().manifest().regionOfZone(directory.self().zone);
        command.limit =
                membership.view().manifest().tenant(state.request.tenant()).quotaPerMinute();
        command.count = Math.max(1, command.limit / QUOTA_GRANT_DIVISOR);
        coreClient.request(
                Parts.partOf(command.service),
                command,
                Math.min(MAX_CORE_WAIT_MICROS, Math.max(MIN_CORE_WAIT_MICROS, remainingWait(state, port.now()))),
                result -> handleQuotaResult(state, result));
    }

    /**
     * A granted quota comes as the result's version; it may be used for the result's {@code retryAfter}
     * microseconds.
     */
    private void handleQuotaResult(RequestState state, CommandResult result) {
        if (result.kind == 0)
            quotaGrants.add(
                    state.request.service() + "/" + state.request.tenant(),
                    (int) result.version,
                    port.now() + result.retryAfterMicros);
        synchronized (state) {
            if (state.phase != RequestPhase.AWAITING_CORE) return;
            if (result.kind == 0) decide(state);
            else if (result.kind == ProblemKind.QUOTA_SPENT.code())
                end(state, Problem.of(ProblemKind.QUOTA_SPENT, result.detail, result.retryAfterMicros));
            else handleCoreProblem(state, ProblemKind.of(result.kind), result);
        }
    }

    private void requestClaim(RequestState state, Decision.Serve decision) {
        if (!state.transitionTo(RequestPhase.AWAITING_CORE)) return;
        var command = new Commands.ClaimTake();
        command.service = state.request.service();
        command.key = claimKey(state.request);
        command.unit = decision.unit();
        command.tableVersion = decision.tableVersion();
        command.region = membership.view().manifest().regionOfZone(directory.self().zone);
        command.holder = directory.self().name;
        command.incarnation = directory.self().incarnation;
        command.attempt = state.claimNumber = lastClaimNumber.incrementAndGet();
        coreClient.request(
                Parts.partOf(command.service),
                command,
                Math.min(MAX_CORE_WAIT_MICROS, Math.max(MIN_CORE_WAIT_MICROS, remainingWait(state, port.now()))),
                result -> handleClaimResult(state, result));
    }

    /** Frees the claim, which the other router needs, before the request can be forwarded. */
    private void releaseClaimThenDecide(RequestState state) {
        if (!state.transitionTo(RequestPhase.AWAITING_CORE)) return;
        coreClient.request(
                Parts.partOf(state.request.service()),
                finishCommand(state, Rows.Claim.RELEASED),
                Math.min(MAX_CORE_WAIT_MICROS, Math.max(MIN_CORE_WAIT_MICROS, remainingWait(state, port.now()))),
                result -> {
                    synchronized (state) {
                        if (result.kind == 0) state.hasClaim = false;
                        if (state.phase != RequestPhase.AWAITING_CORE) return;
                        if (result.kind == 0) decide(state);
                        else end(state, Problem.of(ProblemKind.NO_OWNER));
                    }
                });
    }

    private Commands.ClaimFinish finishCommand(RequestState state, int claimState) {
        var command = new Commands.ClaimFinish();
        command.service = state.request.service();
        command.key = claimKey(state.request);
        command.holder = directory.self().name;
        command.incarnation = directory.self().incarnation;
        command.attempt = state.claimNumber;
        command.state = claimState;
        return command;
    }

    /** Returns the key of the request's claim: two 64-bit hashes of its service, tenant and key. */
    private static String claimKey(Request request) {
        var text = request.service() + "\n" + request.tenant() + "\n" + request.idempotencyKey();
        return Long.toHexString(Hash.of(text)) + Long.toHexString(Hash.of("2\n" + text));
    }

    private void handleClaimResult(RequestState state, CommandResult result) {
        synchronized (state) {
            if (result.kind == 0) state.hasClaim = true;
            if (state.phase != RequestPhase.AWAITING_CORE) {
                finishClaim(state, Rows.Claim.RELEASED);
                return;
            }
            if (result.kind == 0) decide(state);
            else handleCoreProblem(state, ProblemKind.of(result.kind), result);
        }
    }

    /** Handles a problem with a claim or a quota; nothing was sent to a runner under it. */
    private void handleCoreProblem(RequestState state, ProblemKind kind, CommandResult result) {
        switch (kind) {
            case STALE_TABLE, NOT_UNIT_HOME -> {
                state.requiredTableVersion = result.version;
                buffer(state, Problem.of(ProblemKind.NOT_HOME), port.now());
            }
            case UNCERTAIN, NO_OWNER -> {
                // The core may hold the claim all the same, so it is freed when the request ends.
                state.hasClaim = state.claimNumber != 0;
                end(state, Problem.of(ProblemKind.NO_OWNER));
            }
            case STALE_MEMBER -> end(state, Problem.of(ProblemKind.CUT_OFF));
            default -> end(state, Problem.of(kind, result.detail));
        }
    }

    /** Sets the claim's final state in the core, without waiting for the result. */
    private void finishClaim(RequestState state, int claimState) {
        if (!state.hasClaim) return;
        state.hasClaim = false;
        coreClient.request(
                Parts.partOf(state.request.service()),
                finishCommand(state, claimState),
                FINISH_TIMEOUT_MICROS,
                result -> {});
    }

    /**
     * Ends the request with a problem. A problem that promises that nothing has run is replaced if an earlier
     * attempt may have started the work.
     */
    private void end(RequestState state, Problem cause) {
        if (!state.transitionTo(RequestPhase.ENDED)) return;
        var problem = state.earlierAttemptBroke && cause.kind().workOutcome() == WorkOutcome.DECLINED
                ? Problem.of(ProblemKind.RUN_BROKEN, "an earlier attempt broke off; then: " + cause.detail())
                : cause;
        finishClaim(
                state, problem.kind().workOutcome() == WorkOutcome.DECLINED ? Rows.Claim.RELEASED : Rows.Claim.UNKNOWN);
        requestsById.remove(state.request.id());
        counters.countProblem(problem.kind());
        recordUsage(state, problem.kind().name().toLowerCase());
        state.output.endWithProblem(problem);
    }

    private void releaseRunner(RequestState state) {
        if (state.runner == null) return;
        loads.recordEnd(state.runner.name);
        state.runner = null;
    }

    private RequestState findCurrent(long id, int attempt) {
        var state = requestsById.get(id);
        return state != null && state.attempt == attempt ? state : null;
    }

    /** Reports that the runner or router declined an attempt and has not run the request: another may be tried. */
    public void onNotRun(long id, int attempt, Problem problem) {
        var state = findCurrent(id, attempt);
        if (state == null) return;
        synchronized (state) {
            if (state.phase != RequestPhase.DISPATCHED && state.phase != RequestPhase.FORWARDED) return;
            if (state.phase == RequestPhase.FORWARDED) handleRouterDecline(state, problem);
            else handleRunnerDecline(state, problem);
        }
        resumeBuffered(state.request.service());
    }

    /** Reports that an attempt ended with a problem that another attempt cannot mend; the request ends with it. */
    public void onRejected(long id, int attempt, Problem problem) {
        var state = findCurrent(id, attempt);
        if (state == null) return;
        synchronized (state) {
            if (state.phase != RequestPhase.DISPATCHED && state.phase != RequestPhase.FORWARDED) return;
            releaseRunner(state);
            end(state, problem);
        }
        resumeBuffered(state.request.service());
    }

    /**
     * A busy runner counts as full until its next report; any other is not tried again, and is ejected if
     * unreachable.
     */
    private void handleRunnerDecline(RequestState state, Problem problem) {
        var name = state.runner.name;
        if (problem.kind() == ProblemKind.BUSY) loads.recordLoadReport(name, state.runner.slots, port.now());
        else state.excluded.add(name);
        if (problem.kind() == ProblemKind.NO_PATH) {
            loads.eject(name, port.now());
            cellSignals.recordProblem(state.request.service(), state.runner.cell);
        }
        releaseRunner(state);
        if (problem.kind() == ProblemKind.BUSY) waitForSlot(state);
        else retry(state, problem);
    }

    /**
     * With NOT_HOME, the routers have different placement tables: waits for the other's version, then decides again.
     */
    private void handleRouterDecline(RequestState state, Problem problem) {
        if (problem.kind() == ProblemKind.NOT_HOME) {
            state.requiredTableVersion = problem.retryAfterMicros();
            state.retryNotBefore = port.now() + NOT_HOME_RECHECK_MICROS;
            state.nextAttemptIsRetry = true;
            buffer(state, Problem.of(ProblemKind.NOT_HOME), port.now());
            return;
        }
        state.excluded.add(state.router);
        if (problem.kind() == ProblemKind.NO_PATH
                || problem.kind() == ProblemKind.STOPPING
                || problem.kind() == ProblemKind.CUT_OFF) retry(state, problem);
        else end(state, problem);
    }

    private void waitForSlot(RequestState state) {
        state.nextAttemptIsRetry = state.waitsForSlot = true;
        buffer(state, Problem.of(ProblemKind.BUSY), port.now());
    }

    /** Makes another attempt, or ends the request if its time to wait is over or there is no retry token. */
    private void retry(RequestState state, Problem otherwise) {
        if (!state.transitionTo(RequestPhase.DECIDING)) return;
        state.nextAttemptIsRetry = true;
        if (remainingWait(state, port.now()) < 0) end(state, otherwise);
        else if (takeRetryToken(state)) decide(state);
        else end(state, Problem.of(ProblemKind.TRIES_SPENT));
    }

    /** Takes a retry token if the next attempt needs one; returns false if there is none. */
    private boolean takeRetryToken(RequestState state) {
        if (!state.nextAttemptIsRetry) return true;
        if (!retryTokens.tryTake()) return false;
        state.nextAttemptIsRetry = false;
        counters.retries.incrementAndGet();
        return true;
    }

    /**
     * Confirms, right before a request is sent, that the attempt is still current and the runner may still serve it. If
     * the runner may not, decides again and returns false.
     */
    public boolean confirmDispatch(long id, int attempt) {
        var state = findCurrent(id, attempt);
        if (state == null) return false;
        synchronized (state) {
            if (state.phase == RequestPhase.FORWARDED) return true;
            if (state.phase != RequestPhase.DISPATCHED) return false;
            if (decider.mayStillServe(membership.view(), state.request, state.runner, closedSince, port.now()))
                return true;
            releaseRunner(state);
            if (state.transitionTo(RequestPhase.DECIDING)) decide(state);
            return false;
        }
    }

    /** Adds the versions of the manifest and of the service's placement table to the headers for a runner. */
    public void addVersionHeaders(String service, Map<String, String> headers) {
        var view = membership.view();
        var serviceState = view.services().get(service);
        headers.put(HttpExchange.MANIFEST_VERSION_HEADER, Long.toString(view.manifestRow().version));
        headers.put(
                HttpExchange.TABLE_VERSION_HEADER, Long.toString(serviceState == null ? 0 : serviceState.tableVersion));
    }

    /** Reports the first data of a response; returns whether it may be streamed to the client. */
    public boolean onStreamStarted(long id, int attempt) {
        var state = findCurrent(id, attempt);
        if (state == null) return false;
        synchronized (state) {
            state.firstDataAt = port.now();
            if (state.runner != null && state.phase == RequestPhase.DISPATCHED)
                cellSignals.recordFirstData(
                        state.request.service(), state.runner.cell, port.now() - state.dispatchedAt);
            return state.transitionTo(RequestPhase.STREAMING);
        }
    }

    /** Reports that a response was streamed to its end. */
    public void onStreamCompleted(long id, int attempt) {
        var state = findCurrent(id, attempt);
        if (state == null) return;
        synchronized (state) {
            if (!state.transitionTo(RequestPhase.ENDED)) return;
            counters.completedStreams.incrementAndGet();
            recordUsage(state, "whole");
            finishClaim(state, Rows.Claim.DONE);
            releaseRunner(state);
            requestsById.remove(id);
        }
        resumeBuffered(state.request.service());
    }

    /** Reports that an attempt broke off after the request was sent, so that it may have run. */
    public void onAttemptBroken(long id, int attempt) {
        var state = findCurrent(id, attempt);
        if (state == null) return;
        synchronized (state) {
            var forwarded = state.phase == RequestPhase.FORWARDED;
            if (state.phase == RequestPhase.STREAMING) cutStream(state, Problem.of(ProblemKind.RUN_BROKEN));
            else if (state.phase == RequestPhase.DISPATCHED || forwarded) handleBreakBeforeStream(state, forwarded);
        }
        resumeBuffered(state.request.service());
    }

    private void handleBreakBeforeStream(RequestState state, boolean forwarded) {
        var name = forwarded ? state.router : state.runner.name;
        if (!forwarded) cellSignals.recordProblem(state.request.service(), state.runner.cell);
        releaseRunner(state);
        state.excluded.add(name);
        if (!forwarded) loads.eject(name, port.now());
        if (state.runOnce) end(state, Problem.of(ProblemKind.OUTCOME_UNKNOWN));
        else {
            state.earlierAttemptBroke = true;
            retry(state, Problem.of(ProblemKind.RUN_BROKEN));
        }
    }

    private void cutStream(RequestState state, Problem problem) {
        if (!state.transitionTo(RequestPhase.ENDED)) return;
        counters.cutStreams.incrementAndGet();
        recordUsage(state, "cut");
        if (state.runner != null) cellSignals.recordProblem(state.request.service(), state.runner.cell);
        port.logEvent(
                Event.RESPONSE_CUT_OFF,
                state.request.service() + " " + state.request.work() + " transaction " + state.request.id());
        finishClaim(state, Rows.Claim.UNKNOWN);
        releaseRunner(state);
        requestsById.remove(state.request.id());
        state.output.cutStream(problem);
    }

    /** Reports that the client has disconnected; the request ends, whatever its phase. */
    public void onClientDisconnected(long id) {
        var state = requestsById.get(id);
        if (state == null) return;
        synchronized (state) {
            var mayHaveRun = state.phase == RequestPhase.DISPATCHED
                    || state.phase == RequestPhase.STREAMING
                    || state.phase == RequestPhase.FORWARDED;
            if (!state.transitionTo(RequestPhase.ENDED)) return;
            recordUsage(state, "gone");
            finishClaim(state, mayHaveRun ? Rows.Claim.UNKNOWN : Rows.Claim.RELEASED);
            releaseRunner(state);
            requestsById.remove(id);
            state.output.cutStream(Problem.of(ProblemKind.RUN_BROKEN, "the client disconnected"));
        }
        resumeBuffered(state.request.service());
    }

    /** Reports that a response goes on, and how many tokens it has so far. */
    public void onProgress(long id, int tokens) {
        var state = requestsById.get(id);
        if (state == null) return;
        state.lastProgressAt = port.now();
        state.streamedTokens = tokens;
    }

    private void checkRequest(RequestState state, Membership.CoreView view, long now) {
        if (now >= state.request.deadlineMicros()) endAfterDeadline(state);
        else if (now - state.lastProgressAt > LOSS_CHECK_AFTER_MICROS && isTargetLost(state, view))
            onAttemptBroken(state.request.id(), state.attempt);
    }

    /**
     * Returns whether, by the membership view, the router that has the request is no longer a member, or the runner
     * that has it is gone, dark or replaced by another incarnation. A router counts as lost only while the lease is
     * held, since the list of members may be outdated otherwise.
     */
    private boolean isTargetLost(RequestState state, Membership.CoreView view) {
        synchronized (state) {
            if (state.phase != RequestPhase.DISPATCHED
                    && state.phase != RequestPhase.STREAMING
                    && state.phase != RequestPhase.FORWARDED) return false;
            if (state.runner == null)
                return state.router != null
                        && view.hasLease(Parts.partOf(state.request.service()), port.now())
                        && view.membersByPart().get(Parts.partOf(state.request.service())).stream()
                                .noneMatch(node -> node.name.equals(state.router));
            var serviceState = view.services().get(state.request.service());
            var current = serviceState == null ? null : serviceState.runners.get(state.runner.name);
            return current == null
                    || current.incarnation != state.runner.incarnation
                    || current.state == Rows.Runner.DARK;
        }
    }

    /**
     * Does the periodic work: follows marks and runners, resumes buffered requests, and checks those that are open.
     */
    public void tick(long now) {
        var view = membership.view();
        for (var mark : view.manifestRow().marks.keySet()) closedSince.putIfAbsent(mark, now);
        closedSince.keySet().removeIf(mark -> !view.manifestRow().marks.containsKey(mark));
        for (var service : view.services().values())
            if (seenServices.put(service.name, service) != service)
                service.runners.values().forEach(runner -> loads.registerIncarnation(runner, now));
        for (var service : buffersByService.keySet()) resumeBuffered(service);
        for (var state : List.copyOf(requestsById.values())) checkRequest(state, view, now);
    }

    /** Ends a request that a runner or router has; one that still waits is declined when it is decided again. */
    private void endAfterDeadline(RequestState state) {
        synchronized (state) {
            if (state.phase == RequestPhase.STREAMING) {
                cutStream(state, Problem.of(ProblemKind.RUN_BROKEN, "the deadline passed while the work ran"));
            } else if (state.phase == RequestPhase.DISPATCHED || state.phase == RequestPhase.FORWARDED) {
                releaseRunner(state);
                end(
                        state,
                        state.runOnce
                                ? Problem.of(ProblemKind.OUTCOME_UNKNOWN)
                                : Problem.of(ProblemKind.RUN_BROKEN, "the deadline passed while the work ran"));
            }
        }
    }

    /**
     * Decides again on each request in the service's buffer, in order; those that cannot go on yet return to the
     * buffer.
     */
    private void resumeBuffered(String service) {
        var queue = buffersByService.get(service);
        if (queue == null) return;
        for (var remaining = queue.size(); remaining > 0; remaining--) {
            var state = queue.poll();
            if (state == null) return;
            synchronized (state) {
                if (state.phase != RequestPhase.BUFFERED) {
                    bufferedByService.get(service).decrementAndGet();
                    continue;
                }
                if (!hasRequiredTable(state) || port.now() < state.retryNotBefore) {
                    if (remainingWait(state, port.now()) < 0) end(state, Problem.of(ProblemKind.NOT_HOME));
                } else if (takeRetryToken(state)) decide(state);
                else if (!state.waitsForSlot) end(state, Problem.of(ProblemKind.TRIES_SPENT));
                else if (remainingWait(state, port.now()) < 0) end(state, Problem.of(ProblemKind.BUSY));
                if (state.phase == RequestPhase.BUFFERED) queue.add(state);
                else bufferedByService.get(service).decrementAndGet();
            }
        }
    }

    private boolean hasRequiredTable(RequestState state) {
        var serviceState = membership.view().services().get(state.request.service());
        return serviceState == null || serviceState.tableVersion >= state.requiredTableVersion;
    }
}
