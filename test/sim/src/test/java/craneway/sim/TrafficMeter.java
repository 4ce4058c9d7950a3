package craneway.sim;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.Deflater;

/**
 * Counts the messages between members and their bytes, and estimates the datagrams and bytes on the wire, where
 * messages to one receiver are batched for two milliseconds and large frames are compressed.
 */
final class TrafficMeter {
    private static final long BATCH_DELAY_MICROS = 2_000;
    private static final int FRAME_HEADER_BYTES = 14;
    private static final int MAX_FRAME_BYTES = 1_200;
    /** Frames above this size are compressed. */
    private static final int MIN_COMPRESSED_BYTES = 300;

    private final Simulation sim;
    private final Map<String, List<byte[]>> openBatches = new HashMap<>();
    final Map<String, Long> bytesByType = new TreeMap<>();
    long messages;
    long bytes;
    long frames;
    long frameBytes;

    TrafficMeter(Simulation sim) {
        this.sim = sim;
    }

    void recordSent(Cluster.Member from, String to, Object message, byte[] encoded) {
        if (to.equals(from.address)) return;
        messages++;
        bytes += encoded.length;
        bytesByType.merge(message.getClass().getSimpleName(), (long) encoded.length, Long::sum);
        var path = from.name + ">" + to;
        var batch = openBatches.get(path);
        if (batch == null) {
            openBatches.put(path, batch = new ArrayList<>());
            sim.scheduleAfter(BATCH_DELAY_MICROS, () -> countBatch(openBatches.remove(path)));
        }
        batch.add(encoded);
    }

    private void countBatch(List<byte[]> batch) {
        var frame = new ByteArrayOutputStream();
        for (var message : batch) {
            if (frame.size() > 0 && frame.size() + message.length + 2 > MAX_FRAME_BYTES) countFrame(frame);
            frame.write(message.length);
            frame.writeBytes(message);
        }
        countFrame(frame);
    }

    private void countFrame(ByteArrayOutputStream frame) {
        frames++;
        frameBytes += FRAME_HEADER_BYTES
                + (frame.size() > MIN_COMPRESSED_BYTES ? compressedLength(frame.toByteArray()) : frame.size());
        frame.reset();
    }

    private static int compressedLength(byte[] bytes) {
        var deflater = new Deflater(Deflater.BEST_SPEED, true);
        deflater.setInput(bytes);
        deflater.finish();
        var length = 0;
        var buffer = new byte[4_096];
        while (!deflater.finished()) length += deflater.deflate(buffer);
        deflater.end();
        return Math.min(length, bytes.length);
    }

    void reset() {
        messages = bytes = frames = frameBytes = 0;
        bytesByType.clear();
    }
}
