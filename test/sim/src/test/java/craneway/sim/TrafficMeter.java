package craneway.sim;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.Deflater;

/** Counts what members say: messages and their bytes, and the datagrams and bytes that batches of two milliseconds would make. */
final class TrafficMeter {
    private static final long BATCH_DELAY_MICROS = 2_000;
    private static final int FRAME_HEADER_BYTES = 14, MAX_FRAME_BYTES = 1_200, MIN_COMPRESSED_BYTES = 300;

    private final Sim sim;
    private final Map<String, List<byte[]>> openBatches = new HashMap<>();
    final Map<String, Long> bytesByType = new TreeMap<>();
    long messages;
    long bytes;
    long frames;
    long frameBytes;

    TrafficMeter(Sim sim) {
        this.sim = sim;
    }

    void recordSent(Cluster.Member from, String to, Object m, byte[] b) {
        if (to.equals(from.address)) return;
        messages++;
        bytes += b.length;
        bytesByType.merge(m.getClass().getSimpleName(), (long) b.length, Long::sum);
        var lane = from.name + ">" + to;
        var batch = openBatches.get(lane);
        if (batch == null) {
            openBatches.put(lane, batch = new ArrayList<>());
            sim.after(BATCH_DELAY_MICROS, () -> countBatch(openBatches.remove(lane)));
        }
        batch.add(b);
    }

    private void countBatch(List<byte[]> batch) {
        var whole = new ByteArrayOutputStream();
        for (var b : batch) {
            if (whole.size() > 0 && whole.size() + b.length + 2 > MAX_FRAME_BYTES) countFrame(whole);
            whole.write(b.length);
            whole.writeBytes(b);
        }
        countFrame(whole);
    }

    private void countFrame(ByteArrayOutputStream whole) {
        frames++;
        frameBytes += FRAME_HEADER_BYTES + (whole.size() > MIN_COMPRESSED_BYTES ? compressedLength(whole.toByteArray()) : whole.size());
        whole.reset();
    }

    private static int compressedLength(byte[] b) {
        var d = new Deflater(Deflater.BEST_SPEED, true);
        d.setInput(b);
        d.finish();
        var n = 0;
        var some = new byte[4_096];
        while (!d.finished()) n += d.deflate(some);
        d.end();
        return Math.min(n, b.length);
    }

    void reset() {
        messages = bytes = frames = frameBytes = 0;
        bytesByType.clear();
    }
}
