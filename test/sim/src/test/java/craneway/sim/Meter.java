package craneway.sim;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.Deflater;

/** Counts what members say: messages and their bytes, and the datagrams and bytes that batches of two milliseconds would make. */
final class Meter {
    private static final long LINGER = 2_000;
    private static final int HEAD = 14, MOST = 1_200, DEFLATE_FROM = 300;

    private final Simulation sim;
    private final Map<String, List<byte[]>> open = new HashMap<>();
    final Map<String, Long> byKind = new TreeMap<>();
    long messages;
    long bytes;
    long frames;
    long framed;

    Meter(Simulation sim) {
        this.sim = sim;
    }

    void sent(Cluster.Member from, String to, Object m, byte[] b) {
        if (to.equals(from.address)) return;
        messages++;
        bytes += b.length;
        byKind.merge(m.getClass().getSimpleName(), (long) b.length, Long::sum);
        var lane = from.name + ">" + to;
        var batch = open.get(lane);
        if (batch == null) {
            open.put(lane, batch = new ArrayList<>());
            sim.scheduleAfter(LINGER, () -> close(open.remove(lane)));
        }
        batch.add(b);
    }

    private void close(List<byte[]> batch) {
        var whole = new ByteArrayOutputStream();
        for (var b : batch) {
            if (whole.size() > 0 && whole.size() + b.length + 2 > MOST) frame(whole);
            whole.write(b.length);
            whole.writeBytes(b);
        }
        frame(whole);
    }

    private void frame(ByteArrayOutputStream whole) {
        frames++;
        framed += HEAD + (whole.size() > DEFLATE_FROM ? deflated(whole.toByteArray()) : whole.size());
        whole.reset();
    }

    private static int deflated(byte[] b) {
        var d = new Deflater(Deflater.BEST_SPEED, true);
        d.setInput(b);
        d.finish();
        var n = 0;
        var some = new byte[4_096];
        while (!d.finished()) n += d.deflate(some);
        d.end();
        return Math.min(n, b.length);
    }

    void clear() {
        messages = bytes = frames = framed = 0;
        byKind.clear();
    }
}
