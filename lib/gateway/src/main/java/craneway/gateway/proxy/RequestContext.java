package craneway.gateway.proxy;

import craneway.control.node.Membership.CoreView;
import craneway.data.placement.ColdRunnerLimiter;
import craneway.data.placement.RunnerPlacer;
import craneway.data.placement.RunnerPool;
import craneway.data.placement.Prompt;
import craneway.data.placement.RetryBudget;
import craneway.data.placement.RunnerView;
import craneway.model.event.Event;
import craneway.model.event.EventSink;
import craneway.model.manifest.Manifest.Limits;
import craneway.model.manifest.Route;
import craneway.model.node.NodeSettings;
import craneway.state.message.Messages.Reading;
import craneway.state.message.Messages.Silence;
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

/** All open requests of one router, and what they share. One I/O thread. */
final class RequestContext {
    /** Pause between two looks at the open requests. */
    private static final long LOOK = 60_000;

    /** Pause between two looks while none is open, and between two sweeps of what rests. */
    private static final long SWEEP = 500_000;

    private static final long LATELY = 250_000;
    private static final int TOLD = 1_000;
    private static final int SLOW = 5;

    private final XnioIoThread io;
    private final LongSupplier now;
    private final Supplier<CoreView> view;
    private final ProtocolNames names;
    private final NodeSettings node;
    private final BiConsumer<String, Object> send;
    private final EventSink log;
    private final RunnerConnections connections;
    private final ClientConnections clients;
    private final RunnerPool pool = new RunnerPool();
    private final RunnerPlacer placer;
    private final RetryBudget budget;
    private final Set<RequestExchange> open = new HashSet<>();
    private final Notices notices;
    private XnioExecutor.Key nextLook;
    private boolean nextLookIsFar;
    private volatile boolean closed;
    private long swept;
    private long slowSecond;
    private int slowSaid;

    RequestContext(
            XnioIoThread io,
            LongSupplier now,
            Supplier<CoreView> view,
            NodeSettings node,
            ProtocolNames names,
            EventSink log,
            BiConsumer<String, Object> send) {
        this.node = node;
        this.send = send;
        this.io = io;
        this.now = now;
        this.view = view;
        this.names = names;
        this.log = log;
        notices = new Notices(now);
        connections = new RunnerConnections(io, now);
        clients = new ClientConnections(now);
        placer = new RunnerPlacer(pool, new ColdRunnerLimiter(node.name()), node.zone(), node.region());
        var b = node.tolerances();
        budget = new RetryBudget(b.retryWindow(), b.retryRatio(), b.retrySlack());
    }

    /** Ends all open requests so that no answer looks complete that is not. */
    void close() {
        closed = true;
        for (var p : List.copyOf(open)) p.stop();
    }

    void start() {
        nextLook();
    }

    private void nextLook() {
        nextLookIsFar = open.isEmpty();
        nextLook = after(nextLookIsFar ? SWEEP : LOOK, this::look);
    }

    private void look() {
        try {
            refresh();
            var t = now();
            for (var p : List.copyOf(open)) p.look(t);
            if (t - swept > SWEEP) {
                swept = t;
                connections.sweep();
                clients.look(limits());
                if (pool.view() != null && pool.view().manifest() != null) pool.assignRunnerRoles(t);
            }
        } finally {
            if (!closed) nextLook();
        }
    }

    long now() {
        return now.getAsLong();
    }

    ProtocolNames names() {
        return names;
    }

    RunnerPlacer placer() {
        return placer;
    }

    RetryBudget budget() {
        return budget;
    }

    RunnerConnections connections() {
        return connections;
    }

    ClientConnections clients() {
        return clients;
    }

    /** The limits in force, null before the first configuration. */
    Limits limits() {
        var v = pool.view();
        return v == null || v.manifest() == null ? null : v.manifest().limits();
    }

    RunnerPool pool() {
        return pool;
    }

    int open() {
        return open.size();
    }

    XnioExecutor.Key after(long micros, Runnable r) {
        return io.executeAfter(r, Math.max(1, micros), TimeUnit.MICROSECONDS);
    }

    /** Brings what is known of the runners up to date, before one is chosen. */
    void refresh() {
        pool.applyView(view.get());
        notices.take(this::heard, this::heard);
    }

    /** What other routers tell, from any thread. */
    Notices notices() {
        return notices;
    }

    void add(RequestExchange p) {
        open.add(p);
        if (!nextLookIsFar) return;
        nextLook.remove();
        nextLook();
    }

    void remove(RequestExchange p) {
        open.remove(p);
    }

    void note(Event e, String detail) {
        log.logEvent(e, detail);
    }

    void load(RunnerView r, String header) {
        if (header == null) return;
        var all = header.split(",");
        if (all.length < 2) return;
        try {
            r.recordLoadReport(Integer.parseInt(all[0].trim()), Integer.parseInt(all[1].trim()), now());
        } catch (NumberFormatException e) {
            log.logEvent(Event.BAD_MESSAGE, "load of " + r.id() + ": " + header);
        }
    }

    void slow(String detail) {
        if (now() / 1_000_000 != slowSecond) slowSaid = 0;
        slowSecond = now() / 1_000_000;
        if (slowSaid++ < SLOW) log.logEvent(Event.SLOW_RESPONSE, detail);
    }

    /** Tells the routers that use this runner what it has to read. */
    void tell(RunnerPlacer.Placement c, Prompt p) {
        if (c.prefillTokens() < TOLD) return;
        var m = new Reading();
        m.runner = c.runner().id();
        m.tokens = c.prefillTokens();
        m.parts = p.sharedPartIds();
        m.sizes = p.sharedPartTokens();
        for (var a : pool.peerRouterAddresses(node.name(), c.runner().region, node.region())) send.accept(a, m);
    }

    private void heard(Reading m, long at) {
        var r = pool.findRunner(m.runner);
        if (r == null || m.tokens <= 0) return;
        pool.recordPrefill(r, m.tokens, at);
        r.recordCachedParts(m.parts, m.sizes);
    }

    /** This router's requests hear nothing from it: the others had better not send it theirs. */
    void silent(RunnerView r) {
        var t = now();
        if (!r.isSuspected(t)) {
            var m = new Silence();
            m.runner = r.id();
            for (var a : pool.peerRouterAddresses(node.name(), r.region, node.region())) send.accept(a, m);
        }
        r.markSuspected(t);
    }

    private void heard(Silence m, long at) {
        var r = pool.findRunner(m.runner);
        if (r != null && at - r.lastHeardAt() > LATELY) r.markSuspected(at);
    }

    /** Another life has this address. */
    void misdirected(RunnerView r) {
        r.markReplaced();
    }

    void broke(RunnerView r, String cause) {
        r.recordBrokenConnection(now());
    }

    /** Seconds until it is worth coming back. */
    String retryAfter(Route route, String service) {
        return String.format(Locale.ROOT, "%.2f", 0.25);
    }
}
