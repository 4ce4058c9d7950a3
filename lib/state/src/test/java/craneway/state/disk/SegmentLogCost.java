package craneway.state.disk;

import craneway.state.part.LogEntry;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Measures the bytes and the processor time of an append and its sync, on a folder that costs nothing itself. */
public final class SegmentLogCost {
    private static final int ROUNDS = 9;
    private static final int APPENDS = 100_000;
    private static final int BODY = 100;

    private static final class Counting implements Folder {
        private final Map<String, byte[]> files = new HashMap<>();
        private long appended;
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
        public void append(String name, byte[] b, int len) {
            appended += len;
        }

        @Override
        public void sync(String name) {
            syncs++;
        }

        @Override
        public void overwrite(String name, byte[] b) {
            files.put(name, b);
        }

        @Override
        public void replace(String name, byte[] b) {
            files.put(name, b);
        }

        @Override
        public void delete(String name) {
            files.remove(name);
        }
    }

    private SegmentLogCost() {}

    /** Prints the median of some rounds. */
    public static void main(String[] args) {
        var nanos = new ArrayList<Long>();
        for (var r = 0; r < ROUNDS; r++) nanos.add(round());
        Collections.sort(nanos);
        System.out.println("nanoseconds an append and sync: median " + nanos.get(ROUNDS / 2) + ", least " + nanos.get(0)
                + ", most " + nanos.get(ROUNDS - 1));
    }

    private static long round() {
        var folder = new Counting();
        var log = new SegmentLog(folder, "p0.", 1);
        var start = System.nanoTime();
        for (var i = 1; i <= APPENDS; i++) {
            log.append(new LogEntry(i, 1, LogEntry.COMMAND, new byte[BODY]));
            log.sync();
        }
        var taken = (System.nanoTime() - start) / APPENDS;
        System.out.println(folder.appended / APPENDS + " bytes an append of " + BODY + ", " + folder.syncs
                + " syncs of " + APPENDS + " appends, " + taken + " ns");
        return taken;
    }
}
