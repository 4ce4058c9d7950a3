package craneway.sim;

import craneway.data.request.HttpExchange;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;

/**
 * A simulated HTTP request with a streamed response. Frames arrive in order; over a cut link they wait until the link
 * is restored.
 */
final class SimulatedStream implements HttpExchange.OutgoingCall {
    private static final long CUT_RETRY_INTERVAL_MICROS = 200_000;
    private static final long CONNECT_TIMEOUT_MICROS = 1_000_000;

    /** A machine that serves requests. */
    interface Server {
        /** Handles a request and answers on the stream. */
        void serve(SimulatedStream stream, String path, Map<String, String> headers, byte[] body);
    }

    final Machine from;
    final Machine to;
    private final World world;
    private final HttpExchange.ResponseListener sink;

    /** A part of the response on its way to the caller. */
    private record Frame(long at, Runnable delivery, boolean last) {}

    private final Deque<Frame> pending = new ArrayDeque<>();
    private long lastFrameAt;
    private boolean accepted;
    private boolean closed;
    private String submissionId = "";
    private Runnable onCancel = () -> {};

    SimulatedStream(World world, Machine from, Machine to, HttpExchange.ResponseListener sink) {
        this.world = world;
        this.from = from;
        this.to = to;
        this.sink = sink;
    }

    /** Opens the connection: refused after a timeout if a link is cut, at once if no process listens. */
    void connect(String path, Map<String, String> headers, byte[] body) {
        var latency = world.net.drawLatency(from, to);
        submissionId = new String(body).split(" ")[1];
        if (!world.net.isReachable(from, to) || !world.net.isReachable(to, from)) {
            world.journal.blockedMicros.merge(submissionId, CONNECT_TIMEOUT_MICROS, Long::sum);
            world.sim.scheduleAfter(CONNECT_TIMEOUT_MICROS, () -> runOnCaller(sink::onRefused, true));
        } else if (!to.isRunning()) world.sim.scheduleAfter(latency, () -> runOnCaller(sink::onRefused, true));
        else world.sim.scheduleAfter(2 * latency, () -> accept(path, headers, body));
    }

    private void accept(String path, Map<String, String> headers, byte[] body) {
        if (closed) return;
        if (!to.isRunning()) {
            runOnCaller(sink::onBroken, true);
            return;
        }
        accepted = true;
        world.streams.add(this);
        to.runOrDefer(() -> {
            if (!closed) ((Server) to).serve(this, path, headers, body);
        });
    }

    /** Sets what the server does when the caller goes away. */
    void onCancel(Runnable action) {
        onCancel = action;
    }

    /** Whether the server may still write. */
    boolean isOpen() {
        return !closed;
    }

    void status(int code, Map<String, String> headers) {
        reply(() -> sink.onStatus(code, headers), false);
    }

    void chunk(byte[] bytes) {
        reply(() -> sink.onChunk(bytes), false);
    }

    void end() {
        reply(sink::onEnd, true);
    }

    void breakOff() {
        reply(sink::onBroken, true);
    }

    private void reply(Runnable delivery, boolean last) {
        if (closed) return;
        lastFrameAt = Math.max(lastFrameAt + 1, world.sim.now() + world.net.drawLatency(from, to));
        pending.add(new Frame(lastFrameAt, delivery, last));
        if (pending.size() == 1) world.sim.scheduleAt(lastFrameAt, this::deliverPending);
    }

    /** Delivers the next frame, or tries again later while a link is cut. */
    private void deliverPending() {
        if (closed || pending.isEmpty()) return;
        if (!world.net.isReachable(to, from) || !world.net.isReachable(from, to)) {
            world.journal.blockedMicros.merge(submissionId, CUT_RETRY_INTERVAL_MICROS, Long::sum);
            world.sim.scheduleAfter(CUT_RETRY_INTERVAL_MICROS, this::deliverPending);
            return;
        }
        var frame = pending.poll();
        runOnCaller(frame.delivery, frame.last);
        if (!pending.isEmpty()) world.sim.scheduleAt(pending.peek().at, this::deliverPending);
    }

    private void runOnCaller(Runnable action, boolean last) {
        if (closed) return;
        if (last) {
            closed = true;
            world.streams.remove(this);
        }
        if (from.isRunning()) from.runOrDefer(action);
    }

    /**
     * Breaks the connection when the process of either side ends; the other side notices it if the links are intact.
     */
    void onProcessEnd(Machine machine) {
        if (closed || !accepted) return;
        if (machine == from) {
            closed = true;
            world.streams.remove(this);
            if (to.isRunning() && world.net.isReachable(from, to)) to.runOrDefer(onCancel);
        } else if (machine == to) {
            closed = true;
            world.streams.remove(this);
            if (world.net.isReachable(to, from))
                world.sim.scheduleAfter(world.net.drawLatency(from, to), () -> {
                    if (from.isRunning()) from.runOrDefer(sink::onBroken);
                });
        }
    }

    @Override
    public void acknowledgeChunk() {}

    @Override
    public void cancel() {
        if (closed) return;
        closed = true;
        world.streams.remove(this);
        world.sim.scheduleAfter(world.net.drawLatency(from, to), () -> {
            if (to.isRunning()) to.runOrDefer(onCancel);
        });
    }
}
