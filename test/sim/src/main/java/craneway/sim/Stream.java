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
        var l = world.net.latency(from, to);
        sub = new String(body).split(" ")[1];
        if (!world.net.open(from, to) || !world.net.open(to, from)) {
            world.journal.blocked.merge(sub, CONNECT, Long::sum);
            world.sim.after(CONNECT, () -> toCaller(sink::onRefused, true));
        } else if (!to.up()) world.sim.after(l, () -> toCaller(sink::onRefused, true));
        else world.sim.after(2 * l, () -> arrive(path, headers, body));
    }

    private void arrive(String path, Map<String, String> headers, byte[] body) {
        if (over) return;
        if (!to.up()) {
            toCaller(sink::onBroken, true);
            return;
        }
        accepted = true;
        world.streams.add(this);
        to.run(() -> {
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
        lastAt = Math.max(lastAt + 1, world.sim.now() + world.net.latency(from, to));
        pending.add(new Frame(lastAt, what, last));
        if (pending.size() == 1) world.sim.at(lastAt, this::pump);
    }

    private void pump() {
        if (over || pending.isEmpty()) return;
        if (!world.net.open(to, from) || !world.net.open(from, to)) {
            world.journal.blocked.merge(sub, AGAIN, Long::sum);
            world.sim.after(AGAIN, this::pump);
            return;
        }
        var f = pending.poll();
        toCaller(f.what, f.last);
        if (!pending.isEmpty()) world.sim.at(pending.peek().at, this::pump);
    }

    private void toCaller(Runnable what, boolean last) {
        if (over) return;
        if (last) {
            over = true;
            world.streams.remove(this);
        }
        if (from.up()) from.run(what);
    }

    void machineDied(Machine m) {
        if (over || !accepted) return;
        if (m == from) {
            over = true;
            world.streams.remove(this);
            if (to.up() && world.net.open(from, to)) to.run(onCancel);
        } else if (m == to) {
            over = true;
            world.streams.remove(this);
            if (world.net.open(to, from))
                world.sim.after(world.net.latency(from, to), () -> {
                    if (from.up()) from.run(sink::onBroken);
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
        world.sim.after(world.net.latency(from, to), () -> {
            if (to.up()) to.run(onCancel);
        });
    }
}
