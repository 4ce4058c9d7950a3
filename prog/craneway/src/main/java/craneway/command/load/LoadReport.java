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

/** Collects the outcomes of all submissions, writes each to the journal and prints a summary. Thread-safe. */
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

    /** Creates a report that writes its journal to this file, or writes none if the file is null. */
    LoadReport(Path journalFile) throws IOException {
        journal = new PrintWriter(journalFile == null ? Writer.nullWriter() : Files.newBufferedWriter(journalFile));
    }

    /** Counts a submission and writes it to the journal at once. */
    synchronized void addRecord(SubmissionRecord submission) {
        submissionCount++;
        countByVerdict.merge(
                submission.resultCode() == 0 || submission.resultCode() == 200
                        ? submission.verdict()
                        : submission.verdict() + " "
                                + craneway.model.problem.ProblemKind.of(submission.resultCode())
                                        .name()
                                        .toLowerCase(),
                1,
                Integer::sum);
        if (submission.verdict().equals("whole")) {
            timesToFirstTokenMicros.add(submission.timeToFirstTokenMicros());
            streamDurationsMicros.add(submission.durationMicros());
        }
        if (List.of("disordered", "false-end").contains(submission.verdict())) invalidStreams++;
        if (submission.prefixCacheResult().equals("hit")) prefixHits++;
        if (submission.prefixCacheResult().equals("miss")) prefixMisses++;
        journal.println(submission.toJson());
        journal.flush();
    }

    /** Returns the number of streams that were out of order or looked complete although they were cut. */
    synchronized int invalidStreams() {
        return invalidStreams;
    }

    void close() {
        journal.close();
    }

    /** Prints the counts, times and the share of prefix cache hits. */
    synchronized void print(PrintStream out) {
        out.printf("submissions %d in %.1f s%n", submissionCount, (System.nanoTime() - startNanos) / 1e9);
        countByVerdict.forEach((verdict, count) -> out.printf("  %-28s %d%n", verdict, count));
        printQuantiles(out, "time to first token, ms", timesToFirstTokenMicros);
        printQuantiles(out, "whole stream, ms", streamDurationsMicros);
        if (prefixHits + prefixMisses > 0)
            out.printf(
                    "prefix hits %.3f of %d streams%n",
                    prefixHits / (double) (prefixHits + prefixMisses), prefixHits + prefixMisses);
    }

    private static void printQuantiles(PrintStream out, String name, List<Long> valuesMicros) {
        if (valuesMicros.isEmpty()) return;
        Collections.sort(valuesMicros);
        out.printf(
                "%s: p50 %.1f  p90 %.1f  p99 %.1f  max %.1f%n",
                name,
                quantileMillis(valuesMicros, 0.5),
                quantileMillis(valuesMicros, 0.9),
                quantileMillis(valuesMicros, 0.99),
                quantileMillis(valuesMicros, 1));
    }

    private static double quantileMillis(List<Long> sortedMicros, double quantile) {
        return sortedMicros.get(Math.min(sortedMicros.size() - 1, (int) (quantile * sortedMicros.size()))) / 1000.0;
    }
}
