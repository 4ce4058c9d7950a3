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

public final class RequestExecutor {
    public static final long DRAIN_MICROS = 1_500_000;
    private static final int QUOTA_SHARE = 10;
    private static final long PATIENCE = 5_000_000,
            SHARE = 4,
            CLAIM_PATIENCE = 3_000_000,
            LEAST = 300_000,
            FINISH_PATIENCE = 60_000_000,
            RECHECK = 100_000,
            SILENT = 3_000_000;

    private final Port port;
    private final NodeDirectory directory;
    private final Membership membership;
    private final CoreClient coreClient;
    private final RunnerLoads loads;
    private final RequestDecider decider;
    private final RetryTokenBucket tries = new RetryTokenBucket();
    private final RequestCounters counters = new RequestCounters();
    private final Map<Long, RequestState> requests = new ConcurrentHashMap<>();
    private final Map<String, ConcurrentLinkedQueue<RequestState>> buffers = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> buffered = new ConcurrentHashMap<>();
    private final Map<String, Long> closedSince = new ConcurrentHashMap<>();
    private final Map<String, Rows.Service> met = new ConcurrentHashMap<>();
    private final CellSignals cellSignals = new CellSignals();
    private final UsageLog usageLog = new UsageLog();
    private final Quotas quotas = new Quotas();
    private final AtomicLong claimNo = new AtomicLong();
    private volatile boolean stopping;

    public RequestExecutor(
            Port port, NodeDirectory directory, Membership membership, CoreClient coreClient, RunnerLoads loads) {
        this.port = port;
        this.directory = directory;
        this.membership = membership;
        this.coreClient = coreClient;
        this.loads = loads;
        this.decider = new RequestDecider(directory.self().name, directory.self().zone, loads);
    }

    public RequestCounters counters() {
        return counters;
    }

    public CellSignals cellSignals() {
        return cellSignals;
    }

    public UsageLog usageLog() {
        return usageLog;
    }

    private void used(RequestState c, String verdict) {
        if (c.atPeer) return;
        var m = membership.view().manifest();
        usageLog.add(c, m == null ? "" : m.regionOfZone(directory.self().zone), verdict, port.now());
    }

    public int openRequests() {
        return requests.size();
    }

    public void stopAccepting() {
        stopping = true;
    }

    public void accept(Request t, RequestOutput line) {
        counters.accepted.incrementAndGet();
        if (t.forwarded()) counters.forwardedIn.incrementAndGet();
        earn(t.service());
        var c = new RequestState(t, line, port.now());
        requests.put(t.id(), c);
        synchronized (c) {
            if (stopping) end(c, Problem.of(ProblemKind.STOPPING));
            else decide(c);
        }
    }

    private void earn(String service) {
        var routers = 0;
        for (var n : membership.view().membersByPart().get(Parts.partOf(service))) if (n.isRouter()) routers++;
        tries.addForRequest(Math.max(1, routers));
    }

    private static long patience(RequestState c) {
        return Math.min(PATIENCE, (c.t.deadlineMicros() - c.takenAt) / SHARE);
    }

    private static long left(RequestState c, long now) {
        return c.takenAt + patience(c) - now;
    }

    private void decide(RequestState c) {
        var now = port.now();
        var d = decider.decide(membership.view(), c.t, c.avoided, closedSince, now);
        if (d instanceof Decision.Serve s) serve(c, s);
        else if (d instanceof Decision.Forward f) forward(c, f);
        else if (d instanceof Decision.Buffer b) buffer(c, b.problemIfExpired(), now);
        else if (d instanceof Decision.Decline x) end(c, x.problem());
    }

    private void serve(RequestState c, Decision.Serve s) {
        c.unit = s.unit();
        c.once = s.runOnce();
        if (!metered(c)) {
            meter(c, s);
            return;
        }
        if (c.once && !c.claimed) {
            claim(c, s);
            return;
        }
        if (!c.move(RequestPhase.RUNNING)) return;
        if (!c.t.forwarded() && c.attempt == 0) earn(c.t.service());
        c.attempt++;
        c.heardAt = port.now();
        c.runner = s.runner();
        c.ranOn = c.runner.name;
        c.atPeer = false;
        c.sentAt = c.heardAt;
        loads.recordStart(c.runner.name);
        counters.dispatched.incrementAndGet();
        c.line.dispatchToRunner(c.attempt, c.runner);
    }

    private void forward(RequestState c, Decision.Forward f) {
        c.once = f.runOnce();
        if (c.claimed) {
            freeThenDecide(c);
            return;
        }
        if (!c.move(RequestPhase.FORWARDED)) return;
        c.attempt++;
        c.heardAt = port.now();
        c.router = f.router().name;
        c.atPeer = true;
        counters.forwardedOut.incrementAndGet();
        c.line.forwardToRouter(c.attempt, f.router());
    }

    private void buffer(RequestState c, Problem otherwise, long now) {
        var service = membership.view().manifest().service(c.t.service());
        var n = buffered.computeIfAbsent(c.t.service(), k -> new AtomicInteger());
        var full = c.state != RequestPhase.BUFFERED && n.get() >= service.maxBufferedRequests();
        if (full || left(c, now) < 0 || stopping && otherwise.kind() == ProblemKind.NO_RUNNER) {
            end(c, full ? Problem.of(ProblemKind.BUSY) : otherwise);
            return;
        }
        if (c.state == RequestPhase.BUFFERED || !c.move(RequestPhase.BUFFERED)) return;
        counters.buffered.incrementAndGet();
        n.incrementAndGet();
        buffers.computeIfAbsent(c.t.service(), k -> new ConcurrentLinkedQueue<>())
                .add(c);
    }

    private boolean metered(RequestState c) {
        if (c.metered) return true;
        var t = membership.view().manifest().tenant(c.t.tenant());
        c.metered = t == null || t.quotaPerMinute() == 0 || quotas.take(c.t.service() + "/" + c.t.tenant(), port.now());
        return c.metered;
    }

    private void meter(RequestState c, Decision.Serve s) {
        if (!c.move(RequestPhase.CLAIMING)) return;
        var x = new Commands.QuotaTake();
        x.service = c.t.service();
        x.tenant = c.t.tenant();
        x.unit = s.unit();
        x.tableVersion = s.tableVersion();
        x.region = membership.view().manifest().regionOfZone(directory.self().zone);
        x.limit = membership.view().manifest().tenant(c.t.tenant()).quotaPerMinute();
        x.count = Math.max(1, x.limit / QUOTA_SHARE);
        coreClient.request(
                Parts.partOf(x.service),
                x,
                Math.min(CLAIM_PATIENCE, Math.max(LEAST, left(c, port.now()))),
                v -> meteredBy(c, v));
    }

    private void meteredBy(RequestState c, CommandResult v) {
        if (v.kind == 0) quotas.add(c.t.service() + "/" + c.t.tenant(), (int) v.version, port.now() + v.retryAfterMicros);
        synchronized (c) {
            if (c.state != RequestPhase.CLAIMING) return;
            if (v.kind == 0) decide(c);
            else if (v.kind == ProblemKind.QUOTA_SPENT.code())
                end(c, Problem.of(ProblemKind.QUOTA_SPENT, v.detail, v.retryAfterMicros));
            else notAsked(c, ProblemKind.of(v.kind), v);
        }
    }

    private void claim(RequestState c, Decision.Serve s) {
        if (!c.move(RequestPhase.CLAIMING)) return;
        var x = new Commands.ClaimTake();
        x.service = c.t.service();
        x.key = key(c.t);
        x.unit = s.unit();
        x.tableVersion = s.tableVersion();
        x.region = membership.view().manifest().regionOfZone(directory.self().zone);
        x.holder = directory.self().name;
        x.incarnation = directory.self().incarnation;
        x.attempt = c.claimNo = claimNo.incrementAndGet();
        coreClient.request(
                Parts.partOf(x.service),
                x,
                Math.min(CLAIM_PATIENCE, Math.max(LEAST, left(c, port.now()))),
                v -> claimed(c, v));
    }

    private void freeThenDecide(RequestState c) {
        if (!c.move(RequestPhase.CLAIMING)) return;
        coreClient.request(
                Parts.partOf(c.t.service()),
                finish(c, Rows.Claim.RELEASED),
                Math.min(CLAIM_PATIENCE, Math.max(LEAST, left(c, port.now()))),
                v -> {
                    synchronized (c) {
                        if (v.kind == 0) c.claimed = false;
                        if (c.state != RequestPhase.CLAIMING) return;
                        if (v.kind == 0) decide(c);
                        else end(c, Problem.of(ProblemKind.NO_OWNER));
                    }
                });
    }

    private Commands.ClaimFinish finish(RequestState c, int state) {
        var x = new Commands.ClaimFinish();
        x.service = c.t.service();
        x.key = key(c.t);
        x.holder = directory.self().name;
        x.incarnation = directory.self().incarnation;
        x.attempt = c.claimNo;
        x.state = state;
        return x;
    }

    private static String key(Request t) {
        var whole = t.service() + "\n" + t.tenant() + "\n" + t.idempotencyKey();
        return Long.toHexString(Hash.of(whole)) + Long.toHexString(Hash.of("2\n" + whole));
    }

    private void claimed(RequestState c, CommandResult v) {
        synchronized (c) {
            if (v.kind == 0) c.claimed = true;
            if (c.state != RequestPhase.CLAIMING) {
                giveBack(c, Rows.Claim.RELEASED);
                return;
            }
            if (v.kind == 0) decide(c);
            else notAsked(c, ProblemKind.of(v.kind), v);
        }
    }

    private void notAsked(RequestState c, ProblemKind k, CommandResult v) {
        switch (k) {
            case STALE_TABLE, NOT_UNIT_HOME -> {
                c.needTable = v.version;
                buffer(c, Problem.of(ProblemKind.NOT_HOME), port.now());
            }
            case UNCERTAIN, NO_OWNER -> {
                c.claimed = c.claimNo != 0;
                end(c, Problem.of(ProblemKind.NO_OWNER));
            }
            case STALE_MEMBER -> end(c, Problem.of(ProblemKind.CUT_OFF));
            default -> end(c, Problem.of(k, v.detail));
        }
    }

    private void giveBack(RequestState c, int state) {
        if (!c.claimed) return;
        c.claimed = false;
        coreClient.request(Parts.partOf(c.t.service()), finish(c, state), FINISH_PATIENCE, v -> {});
    }

    private void end(RequestState c, Problem given) {
        if (!c.move(RequestPhase.ENDED)) return;
        var p = c.started && given.kind().workOutcome() == WorkOutcome.DECLINED
                ? Problem.of(ProblemKind.RUN_BROKEN, "an earlier try broke off; then: " + given.detail())
                : given;
        giveBack(c, p.kind().workOutcome() == WorkOutcome.DECLINED ? Rows.Claim.RELEASED : Rows.Claim.UNKNOWN);
        requests.remove(c.t.id());
        counters.countProblem(p.kind());
        used(c, p.kind().name().toLowerCase());
        c.line.endWithProblem(p);
    }

    private void leaveRunner(RequestState c) {
        if (c.runner == null) return;
        loads.recordEnd(c.runner.name);
        c.runner = null;
    }

    private RequestState at(long id, int attempt) {
        var c = requests.get(id);
        return c != null && c.attempt == attempt ? c : null;
    }

    public void onNotRun(long id, int attempt, Problem p) {
        var c = at(id, attempt);
        if (c == null) return;
        synchronized (c) {
            if (c.state != RequestPhase.RUNNING && c.state != RequestPhase.FORWARDED) return;
            if (c.state == RequestPhase.FORWARDED) peerDeclined(c, p);
            else runnerDeclined(c, p);
        }
        wake(c.t.service());
    }

    public void onRejected(long id, int attempt, Problem p) {
        var c = at(id, attempt);
        if (c == null) return;
        synchronized (c) {
            if (c.state != RequestPhase.RUNNING && c.state != RequestPhase.FORWARDED) return;
            leaveRunner(c);
            end(c, p);
        }
        wake(c.t.service());
    }

    private void runnerDeclined(RequestState c, Problem p) {
        var name = c.runner.name;
        if (p.kind() == ProblemKind.BUSY) loads.recordLoadReport(name, c.runner.slots, port.now());
        else c.avoided.add(name);
        if (p.kind() == ProblemKind.NO_PATH) {
            loads.eject(name, port.now());
            cellSignals.recordProblem(c.t.service(), c.runner.cell);
        }
        leaveRunner(c);
        if (p.kind() == ProblemKind.BUSY) waitForSlot(c);
        else again(c, p);
    }

    private void peerDeclined(RequestState c, Problem p) {
        if (p.kind() == ProblemKind.NOT_HOME) {
            c.needTable = p.retryAfterMicros();
            c.notBefore = port.now() + RECHECK;
            c.owesAttempt = true;
            buffer(c, Problem.of(ProblemKind.NOT_HOME), port.now());
            return;
        }
        c.avoided.add(c.router);
        if (p.kind() == ProblemKind.NO_PATH || p.kind() == ProblemKind.STOPPING || p.kind() == ProblemKind.CUT_OFF)
            again(c, p);
        else end(c, p);
    }

    private void waitForSlot(RequestState c) {
        c.owesAttempt = c.waitsForSlot = true;
        buffer(c, Problem.of(ProblemKind.BUSY), port.now());
    }

    private void again(RequestState c, Problem otherwise) {
        if (!c.move(RequestPhase.TAKEN)) return;
        c.owesAttempt = true;
        if (left(c, port.now()) < 0) end(c, otherwise);
        else if (payTry(c)) decide(c);
        else end(c, Problem.of(ProblemKind.TRIES_SPENT));
    }

    private boolean payTry(RequestState c) {
        if (!c.owesAttempt) return true;
        if (!tries.tryTake()) return false;
        c.owesAttempt = false;
        counters.retries.incrementAndGet();
        return true;
    }

    public boolean confirmDispatch(long id, int attempt) {
        var c = at(id, attempt);
        if (c == null) return false;
        synchronized (c) {
            if (c.state == RequestPhase.FORWARDED) return true;
            if (c.state != RequestPhase.RUNNING) return false;
            if (decider.mayStillServe(membership.view(), c.t, c.runner, closedSince, port.now())) return true;
            leaveRunner(c);
            if (c.move(RequestPhase.TAKEN)) decide(c);
            return false;
        }
    }

    public void addVersionHeaders(String service, Map<String, String> headers) {
        var v = membership.view();
        var s = v.services().get(service);
        headers.put(HttpExchange.MANIFEST_VERSION_HEADER, Long.toString(v.manifestRow().version));
        headers.put(HttpExchange.TABLE_VERSION_HEADER, Long.toString(s == null ? 0 : s.tableVersion));
    }

    public boolean onStreamStarted(long id, int attempt) {
        var c = at(id, attempt);
        if (c == null) return false;
        synchronized (c) {
            c.firstAt = port.now();
            if (c.runner != null && c.state == RequestPhase.RUNNING)
                cellSignals.recordFirstData(c.t.service(), c.runner.cell, port.now() - c.sentAt);
            return c.move(RequestPhase.STREAMING);
        }
    }

    public void onStreamCompleted(long id, int attempt) {
        var c = at(id, attempt);
        if (c == null) return;
        synchronized (c) {
            if (!c.move(RequestPhase.ENDED)) return;
            counters.completedStreams.incrementAndGet();
            used(c, "whole");
            giveBack(c, Rows.Claim.DONE);
            leaveRunner(c);
            requests.remove(id);
        }
        wake(c.t.service());
    }

    public void onAttemptBroken(long id, int attempt) {
        var c = at(id, attempt);
        if (c == null) return;
        synchronized (c) {
            var forwarded = c.state == RequestPhase.FORWARDED;
            if (c.state == RequestPhase.STREAMING) cutOff(c, Problem.of(ProblemKind.RUN_BROKEN));
            else if (c.state == RequestPhase.RUNNING || forwarded) brokenEarly(c, forwarded);
        }
        wake(c.t.service());
    }

    private void brokenEarly(RequestState c, boolean forwarded) {
        var name = forwarded ? c.router : c.runner.name;
        if (!forwarded) cellSignals.recordProblem(c.t.service(), c.runner.cell);
        leaveRunner(c);
        c.avoided.add(name);
        if (!forwarded) loads.eject(name, port.now());
        if (c.once) end(c, Problem.of(ProblemKind.OUTCOME_UNKNOWN));
        else {
            c.started = true;
            again(c, Problem.of(ProblemKind.RUN_BROKEN));
        }
    }

    private void cutOff(RequestState c, Problem p) {
        if (!c.move(RequestPhase.ENDED)) return;
        counters.cutStreams.incrementAndGet();
        used(c, "cut");
        if (c.runner != null) cellSignals.recordProblem(c.t.service(), c.runner.cell);
        port.logEvent(Event.RESPONSE_CUT_OFF, c.t.service() + " " + c.t.work() + " transaction " + c.t.id());
        giveBack(c, Rows.Claim.UNKNOWN);
        leaveRunner(c);
        requests.remove(c.t.id());
        c.line.cutStream(p);
    }

    public void onClientDisconnected(long id) {
        var c = requests.get(id);
        if (c == null) return;
        synchronized (c) {
            var ran = c.state == RequestPhase.RUNNING
                    || c.state == RequestPhase.STREAMING
                    || c.state == RequestPhase.FORWARDED;
            if (!c.move(RequestPhase.ENDED)) return;
            used(c, "gone");
            giveBack(c, ran ? Rows.Claim.UNKNOWN : Rows.Claim.RELEASED);
            leaveRunner(c);
            requests.remove(id);
            c.line.cutStream(Problem.of(ProblemKind.RUN_BROKEN, "the requester went away"));
        }
        wake(c.t.service());
    }

    public void onProgress(long id, int tokens) {
        var c = requests.get(id);
        if (c == null) return;
        c.heardAt = port.now();
        c.tokens = tokens;
    }

    private void watch(RequestState c, Membership.CoreView v, long now) {
        if (now >= c.t.deadlineMicros()) late(c);
        else if (now - c.heardAt > SILENT && lost(c, v)) onAttemptBroken(c.t.id(), c.attempt);
    }

    private boolean lost(RequestState c, Membership.CoreView v) {
        synchronized (c) {
            if (c.state != RequestPhase.RUNNING
                    && c.state != RequestPhase.STREAMING
                    && c.state != RequestPhase.FORWARDED) return false;
            if (c.runner == null)
                return c.router != null
                        && v.hasLease(Parts.partOf(c.t.service()), port.now())
                        && v.membersByPart().get(Parts.partOf(c.t.service())).stream()
                                .noneMatch(n -> n.name.equals(c.router));
            var s = v.services().get(c.t.service());
            var r = s == null ? null : s.runners.get(c.runner.name);
            return r == null || r.incarnation != c.runner.incarnation || r.state == Rows.Runner.DARK;
        }
    }

    public void tick(long now) {
        var v = membership.view();
        for (var k : v.manifestRow().marks.keySet()) closedSince.putIfAbsent(k, now);
        closedSince.keySet().removeIf(k -> !v.manifestRow().marks.containsKey(k));
        for (var s : v.services().values())
            if (met.put(s.name, s) != s) s.runners.values().forEach(r -> loads.registerIncarnation(r, now));
        for (var s : buffers.keySet()) wake(s);
        for (var c : List.copyOf(requests.values())) watch(c, v, now);
    }

    private void late(RequestState c) {
        synchronized (c) {
            if (c.state == RequestPhase.STREAMING) {
                cutOff(c, Problem.of(ProblemKind.RUN_BROKEN, "the deadline passed while the work ran"));
            } else if (c.state == RequestPhase.RUNNING || c.state == RequestPhase.FORWARDED) {
                leaveRunner(c);
                end(
                        c,
                        c.once
                                ? Problem.of(ProblemKind.OUTCOME_UNKNOWN)
                                : Problem.of(ProblemKind.RUN_BROKEN, "the deadline passed while the work ran"));
            }
        }
    }

    private void wake(String service) {
        var q = buffers.get(service);
        if (q == null) return;
        for (var n = q.size(); n > 0; n--) {
            var c = q.poll();
            if (c == null) return;
            synchronized (c) {
                if (c.state != RequestPhase.BUFFERED) {
                    buffered.get(service).decrementAndGet();
                    continue;
                }
                if (!tableReady(c) || port.now() < c.notBefore) {
                    if (left(c, port.now()) < 0) end(c, Problem.of(ProblemKind.NOT_HOME));
                } else if (payTry(c)) decide(c);
                else if (!c.waitsForSlot) end(c, Problem.of(ProblemKind.TRIES_SPENT));
                else if (left(c, port.now()) < 0) end(c, Problem.of(ProblemKind.BUSY));
                if (c.state == RequestPhase.BUFFERED) q.add(c);
                else buffered.get(service).decrementAndGet();
            }
        }
    }

    private boolean tableReady(RequestState c) {
        var s = membership.view().services().get(c.t.service());
        return s == null || s.tableVersion >= c.needTable;
    }
}
