package craneway.gateway.proxy;

import craneway.control.node.Membership.CoreView;
import craneway.data.placement.ColdRunnerLimiter;
import craneway.data.placement.Prompt;
import craneway.data.placement.RetryBudget;
import craneway.data.placement.RunnerPlacer;
import craneway.data.placement.RunnerPool;
import craneway.data.placement.RunnerView;
import craneway.model.event.Event;
import craneway.model.event.EventSink;
import craneway.model.manifest.Manifest.Limits;
import craneway.model.manifest.Route;
import craneway.model.node.NodeSettings;
import craneway.state.message.Messages.PrefillNotice;
import craneway.state.message.Messages.SilenceNotice;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * Holds the open requests of one router and what they share: runner state, connections, retry budget and timers. All
 * methods run on the one I/O thread, except that any thread may add to {@link #notices()}. Times are microseconds.
 */
final class ProxyContext {
    /** Interval between two checks of the open requests. */
    private static final long CHECK_INTERVAL_MICROS = 60_000;

    /** Interval between two checks while no request is open, and between two sweeps of idle connections. */
    private static final long SWEEP_INTERVAL_MICROS = 500_000;

    /** A peer's report that a runner is silent is ignored if the runner responded to this router this recently. */
    private static final long RECENT_RESPONSE_MICROS = 250_000;

    /** A prompt with fewer tokens left to prefill is not announced to the other routers. */
    private static final int MIN_ANNOUNCED_TOKENS = 1_000;

    private static final int MAX_SLOW_LOGS_PER_SECOND = 5;

    private final XnioIoThread ioThread;
    private final LongSupplier clock;
    private final Supplier<CoreView> currentView;
    private final ProtocolNames names;
    private final NodeSettings nodeSettings;
    private final BiConsumer<String, Object> peerSender;
    private final EventSink log;
    private final RunnerConnectionPool runnerConnections;
    private final ClientConnections clientConnections;
    private final RunnerPool pool = new RunnerPool();
    private final RunnerPlacer placer;
    private final RetryBudget retryBudget;
    private final Set<RequestExchange> openExchanges = new HashSet<>();
    private final RunnerNoticeQueue notices;
    private XnioExecutor.Key nextCheckTimer;
    private boolean nextCheckIsDistant;
    private volatile boolean closed;
    private long lastSweepAt;
    private long slowLogSecond;
    private int slowLogsThisSecond;

    ProxyContext(
            XnioIoThread ioThread,
            LongSupplier clock,
            Supplier<CoreView> currentView,
            NodeSettings nodeSettings,
            ProtocolNames names,
            EventSink log,
            BiConsumer<String, Object> peerSender) {
        this.nodeSettings = nodeSettings;
        this.peerSender = peerSender;
        this.ioThread = ioThread;
        this.clock = clock;
        this.currentView = currentView;
        this.names = names;
        this.log = log;
        notices = new RunnerNoticeQueue(clock);
        runnerConnections = new RunnerConnectionPool(ioThread, clock);
        clientConnections = new ClientConnections(clock);
        placer = new RunnerPlacer(
                pool, new ColdRunnerLimiter(nodeSettings.name()), nodeSettings.zone(), nodeSettings.region());
        var tolerances = nodeSettings.tolerances();
        retryBudget = new RetryBudget(tolerances.retryWindow(), tolerances.retryRatio(), tolerances.retrySlack());
    }

    /** Ends all open requests so that no incomplete response looks complete. */
    void close() {
        closed = true;
        for (var exchange : List.copyOf(openExchanges)) exchange.stop();
    }

    /** Starts the periodic checks. */
    void start() {
        scheduleNextCheck();
    }

    private void scheduleNextCheck() {
        nextCheckIsDistant = openExchanges.isEmpty();
        nextCheckTimer =
                schedule(nextCheckIsDistant ? SWEEP_INTERVAL_MICROS : CHECK_INTERVAL_MICROS, this::runPeriodicCheck);
    }

    private void runPeriodicCheck() {
        try {
            refreshRunners();
            var checkTime = now();
            for (var exchange : List.copyOf(openExchanges)) exchange.check(checkTime);
            if (checkTime - lastSweepAt > SWEEP_INTERVAL_MICROS) {
                lastSweepAt = checkTime;
                runnerConnections.closeExpired();
                clientConnections.closeExpired(limits());
                if (pool.view() != null && pool.view().manifest() != null) pool.assignRunnerRoles(checkTime);
            }
        } finally {
            if (!closed) scheduleNextCheck();
        }
    }

    /** The time by the steady clock, in microseconds. */
    long now() {
        return clock.getAsLong();
    }

    ProtocolNames names() {
        return names;
    }

    RunnerPlacer placer() {
        return placer;
    }

    RetryBudget retryBudget() {
        return retryBudget;
    }

    RunnerConnectionPool runnerConnections() {
        return runnerConnections;
    }

    ClientConnections clientConnections() {
        return clientConnections;
    }

    /** The limits in force, null before the first configuration. */
    Limits limits() {
        var view = pool.view();
        return view == null || view.manifest() == null ? null : view.manifest().limits();
    }

    RunnerPool pool() {
        return pool;
    }

    int openCount() {
        return openExchanges.size();
    }

    /** Runs a task on the I/O thread after a delay of at least 1 µs. */
    XnioExecutor.Key schedule(long delayMicros, Runnable task) {
        return ioThread.executeAfter(task, Math.max(1, delayMicros), TimeUnit.MICROSECONDS);
    }

    /** Applies the newest view and the queued notices to the runners' state; called before a runner is selected. */
    void refreshRunners() {
        pool.applyView(currentView.get());
        notices.drain(this::applyPrefill, this::applySilence);
    }

    /** The queue of what other routers report; any thread may add to it. */
    RunnerNoticeQueue notices() {
        return notices;
    }

    /** Adds an open request; if the next check is scheduled for an idle router, it is brought forward. */
    void add(RequestExchange exchange) {
        openExchanges.add(exchange);
        if (!nextCheckIsDistant) return;
        nextCheckTimer.remove();
        scheduleNextCheck();
    }

    void remove(RequestExchange exchange) {
        openExchanges.remove(exchange);
    }

    void logEvent(Event event, String detail) {
        log.logEvent(event, detail);
    }

    /** Records the load that a runner reported in its response header: running and waiting requests. */
    void recordLoad(RunnerView runner, String loadHeader) {
        if (loadHeader == null) return;
        var fields = loadHeader.split(",");
        if (fields.length < 2) return;
        try {
            runner.recordLoadReport(Integer.parseInt(fields[0].trim()), Integer.parseInt(fields[1].trim()), now());
        } catch (NumberFormatException e) {
            log.logEvent(Event.BAD_MESSAGE, "malformed load header from runner " + runner.id() + ": " + loadHeader);
        }
    }

    /** Logs a slow response, at most {@link #MAX_SLOW_LOGS_PER_SECOND} times in a second. */
    void logSlowResponse(String detail) {
        if (now() / 1_000_000 != slowLogSecond) slowLogsThisSecond = 0;
        slowLogSecond = now() / 1_000_000;
        if (slowLogsThisSecond++ < MAX_SLOW_LOGS_PER_SECOND) log.logEvent(Event.SLOW_RESPONSE, detail);
    }

    /** Tells the routers that use the selected runner which tokens it has to prefill, unless they are few. */
    void announcePrefill(RunnerPlacer.Placement placement, Prompt prompt) {
        if (placement.prefillTokens() < MIN_ANNOUNCED_TOKENS) return;
        var message = new PrefillNotice();
        message.runner = placement.runner().id();
        message.prefillTokens = placement.prefillTokens();
        message.sharedPartIds = prompt.sharedPartIds();
        message.sharedPartTokens = prompt.sharedPartTokens();
        for (var address :
                pool.peerRouterAddresses(nodeSettings.name(), placement.runner().region, nodeSettings.region()))
            peerSender.accept(address, message);
    }

    private void applyPrefill(PrefillNotice message, long receivedAt) {
        var runner = pool.findRunner(message.runner);
        if (runner == null || message.prefillTokens <= 0) return;
        pool.recordPrefill(runner, message.prefillTokens, receivedAt);
        runner.recordCachedParts(message.sharedPartIds, message.sharedPartTokens);
    }

    /** Marks a runner as suspected and, if it was not yet, tells the other routers to avoid it. */
    void reportSilent(RunnerView runner) {
        var reportTime = now();
        if (!runner.isSuspected(reportTime)) {
            var message = new SilenceNotice();
            message.runner = runner.id();
            for (var address : pool.peerRouterAddresses(nodeSettings.name(), runner.region, nodeSettings.region()))
                peerSender.accept(address, message);
        }
        runner.markSuspected(reportTime);
    }

    private void applySilence(SilenceNotice message, long receivedAt) {
        var runner = pool.findRunner(message.runner);
        if (runner != null && receivedAt - runner.lastHeardAt() > RECENT_RESPONSE_MICROS)
            runner.markSuspected(receivedAt);
    }

    /** Records that another runner, or another incarnation of this one, now has its address. */
    void markReplaced(RunnerView runner) {
        runner.markReplaced();
    }

    /** Records that a connection to this runner broke during a request. */
    void recordBreak(RunnerView runner, String cause) {
        runner.recordBrokenConnection(now());
    }

    /** The value of the Retry-After header: after how many seconds a client should try again. */
    String retryAfterSeconds(Route route, String service) {
        return String.format(Locale.ROOT, "%.2f", 0.25);
    }
}
