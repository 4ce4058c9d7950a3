package craneway.state.disk;

import craneway.state.part.LogEntry;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Measures the bytes and the processor time of an append with its sync, on a folder that costs nothing itself. */
public final class SegmentLogCost {
    private static final int ROUND_COUNT = 9;
    private static final int APPENDS_PER_ROUND = 100_000;
    private static final int BODY_BYTES = 100;

    /** A folder that counts appended bytes and syncs and keeps no log data. */
    private static final class CountingFolder implements Folder {
        private final Map<String, byte[]> files = new HashMap<>();
        private long appendedBytes;
        private long syncs;

        @Override
        public List<String> fileNames() {
            return List.copyOf(files.keySet());
        }

        @Override
        public byte[] read(String name) {
            return files.get(name);
        }

        @Override
        public void append(String name, byte[] bytes, int length) {
            appendedBytes += length;
        }

        @Override
        public void sync(String name) {
            syncs++;
        }

        @Override
        public void overwrite(String name, byte[] bytes) {
            files.put(name, bytes);
        }

        @Override
        public void replace(String name, byte[] bytes) {
            files.put(name, bytes);
        }

        @Override
        public void delete(String name) {
            files.remove(name);
        }
    }

    private SegmentLogCost() {}

    /** Prints the median over the rounds. */
    public static void main(String[] args) {
        var nanos = new ArrayList<Long>();
        for (var round = 0; round < ROUND_COUNT; round++) nanos.add(measureRound());
        Collections.sort(nanos);
        System.out.println("nanoseconds per append and sync: median " + nanos.get(ROUND_COUNT / 2) + ", minimum "
                + nanos.get(0) + ", maximum " + nanos.get(ROUND_COUNT - 1));
    }

    private static long measureRound() {
        var folder = new CountingFolder();
        var log = new SegmentLog(folder, "p0.", 1);
        var startedAt = System.nanoTime();
        for (var index = 1; index <= APPENDS_PER_ROUND; index++) {
            log.append(new LogEntry(index, 1, LogEntry.COMMAND, new byte[BODY_BYTES]));
            log.sync();
        }
        var nanosPerAppend = (System.nanoTime() - startedAt) / APPENDS_PER_ROUND;
        System.out.println(folder.appendedBytes / APPENDS_PER_ROUND + " bytes per append of " + BODY_BYTES + ", "
                + folder.syncs + " syncs of " + APPENDS_PER_ROUND + " appends, " + nanosPerAppend + " ns");
        return nanosPerAppend;
    }
}
