package craneway.sim;

import craneway.data.request.HttpExchange;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;

final class Stream implements HttpExchange.OutgoingCall {
    private static final long AGAIN = 200_000, CONNECT = 1_000_000;

    interface Server {
        void serve(Stream s, String path, Map<String, String> headers, byte[] body);
    }

    final Machine from;
    final Machine to;
    private final World world;
    private final HttpExchange.ResponseListener sink;

    private record Frame(long at, Runnable what, boolean last) {}

    private final Deque<Frame> pending = new ArrayDeque<>();
    private long lastAt;
    private boolean accepted;
    private boolean over;
    private String sub = "";
    private Runnable onCancel = () -> {};

    Stream(World world, Machine from, Machine to, HttpExchange.ResponseListener sink) {
        this.world = world;
        this.from = from;
        this.to = to;
        this.sink = sink;
    }

    void connect(String path, Map<String, String> headers, byte[] body) {
        var l = world.net.drawLatency(from, to);
        sub = new String(body).split(" ")[1];
        if (!world.net.isReachable(from, to) || !world.net.isReachable(to, from)) {
            world.journal.blockedMicros.merge(sub, CONNECT, Long::sum);
            world.sim.scheduleAfter(CONNECT, () -> toCaller(sink::onRefused, true));
        } else if (!to.isRunning()) world.sim.scheduleAfter(l, () -> toCaller(sink::onRefused, true));
        else world.sim.scheduleAfter(2 * l, () -> arrive(path, headers, body));
    }

    private void arrive(String path, Map<String, String> headers, byte[] body) {
        if (over) return;
        if (!to.isRunning()) {
            toCaller(sink::onBroken, true);
            return;
        }
        accepted = true;
        world.streams.add(this);
        to.runOrDefer(() -> {
            if (!over) ((Server) to).serve(this, path, headers, body);
        });
    }

    void onCancel(Runnable r) {
        onCancel = r;
    }

    boolean open() {
        return !over;
    }

    void status(int code, Map<String, String> headers) {
        back(() -> sink.onStatus(code, headers), false);
    }

    void chunk(byte[] b) {
        back(() -> sink.onChunk(b), false);
    }

    void end() {
        back(sink::onEnd, true);
    }

    void broken() {
        back(sink::onBroken, true);
    }

    private void back(Runnable what, boolean last) {
        if (over) return;
        lastAt = Math.max(lastAt + 1, world.sim.now() + world.net.drawLatency(from, to));
        pending.add(new Frame(lastAt, what, last));
        if (pending.size() == 1) world.sim.scheduleAt(lastAt, this::pump);
    }

    private void pump() {
        if (over || pending.isEmpty()) return;
        if (!world.net.isReachable(to, from) || !world.net.isReachable(from, to)) {
            world.journal.blockedMicros.merge(sub, AGAIN, Long::sum);
            world.sim.scheduleAfter(AGAIN, this::pump);
            return;
        }
        var f = pending.poll();
        toCaller(f.what, f.last);
        if (!pending.isEmpty()) world.sim.scheduleAt(pending.peek().at, this::pump);
    }

    private void toCaller(Runnable what, boolean last) {
        if (over) return;
        if (last) {
            over = true;
            world.streams.remove(this);
        }
        if (from.isRunning()) from.runOrDefer(what);
    }

    void machineDied(Machine m) {
        if (over || !accepted) return;
        if (m == from) {
            over = true;
            world.streams.remove(this);
            if (to.isRunning() && world.net.isReachable(from, to)) to.runOrDefer(onCancel);
        } else if (m == to) {
            over = true;
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
        if (over) return;
        over = true;
        world.streams.remove(this);
        world.sim.scheduleAfter(world.net.drawLatency(from, to), () -> {
            if (to.isRunning()) to.runOrDefer(onCancel);
        });
    }
}
