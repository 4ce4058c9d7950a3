package craneway.command.load;

import java.io.IOException;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

final class LoadReport {
    private final PrintWriter journal;
    private final Map<String, Integer> countByVerdict = new TreeMap<>();
    private final List<Long> timesToFirstTokenMicros = new ArrayList<>();
    private final List<Long> streamDurationsMicros = new ArrayList<>();
    private final long startNanos = System.nanoTime();
    private int submissionCount;
    private int prefixHits;
    private int prefixMisses;
    private int invalidStreams;

    LoadReport(Path file) throws IOException {
        journal = new PrintWriter(file == null ? Writer.nullWriter() : Files.newBufferedWriter(file));
    }

    synchronized void addRecord(SubmissionRecord t) {
        submissionCount++;
        countByVerdict.merge(
                t.statusCode() == 0 || t.statusCode() == 200
                        ? t.verdict()
                        : t.verdict() + " "
                                + craneway.model.problem.ProblemKind.of(t.statusCode())
                                        .name()
                                        .toLowerCase(),
                1,
                Integer::sum);
        if (t.verdict().equals("whole")) {
            timesToFirstTokenMicros.add(t.timeToFirstTokenMicros());
            streamDurationsMicros.add(t.durationMicros());
        }
        if (List.of("disordered", "false-end").contains(t.verdict())) invalidStreams++;
        if (t.prefixCacheResult().equals("hit")) prefixHits++;
        if (t.prefixCacheResult().equals("miss")) prefixMisses++;
        journal.println(t.toJson());
        journal.flush();
    }

    synchronized int invalidStreams() {
        return invalidStreams;
    }

    void close() {
        journal.close();
    }

    synchronized void print(PrintStream o) {
        o.printf("submissions %d in %.1f s%n", submissionCount, (System.nanoTime() - startNanos) / 1e9);
        countByVerdict.forEach((k, v) -> o.printf("  %-28s %d%n", k, v));
        printQuantiles(o, "time to first token, ms", timesToFirstTokenMicros);
        printQuantiles(o, "whole stream, ms", streamDurationsMicros);
        if (prefixHits + prefixMisses > 0)
            o.printf("prefix hits %.3f of %d streams%n", prefixHits / (double) (prefixHits + prefixMisses), prefixHits + prefixMisses);
    }

    private static void printQuantiles(PrintStream o, String name, List<Long> all) {
        if (all.isEmpty()) return;
        Collections.sort(all);
        o.printf(
                "%s: p50 %.1f  p90 %.1f  p99 %.1f  max %.1f%n",
                name, quantileMillis(all, 0.5), quantileMillis(all, 0.9), quantileMillis(all, 0.99), quantileMillis(all, 1));
    }

    private static double quantileMillis(List<Long> all, double q) {
        return all.get(Math.min(all.size() - 1, (int) (q * all.size()))) / 1000.0;
    }
}
