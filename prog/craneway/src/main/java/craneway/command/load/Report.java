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

final class Report {
    private final PrintWriter journal;
    private final Map<String, Integer> verdicts = new TreeMap<>();
    private final List<Long> first = new ArrayList<>();
    private final List<Long> whole = new ArrayList<>();
    private final long start = System.nanoTime();
    private int submissions;
    private int hits;
    private int misses;
    private int broken;

    Report(Path file) throws IOException {
        journal = new PrintWriter(file == null ? Writer.nullWriter() : Files.newBufferedWriter(file));
    }

    synchronized void add(ReplyRecord t) {
        submissions++;
        verdicts.merge(
                t.code() == 0 || t.code() == 200
                        ? t.verdict()
                        : t.verdict() + " "
                                + craneway.model.problem.ProblemKind.of(t.code())
                                        .name()
                                        .toLowerCase(),
                1,
                Integer::sum);
        if (t.verdict().equals("whole")) {
            first.add(t.firstMicros());
            whole.add(t.wholeMicros());
        }
        if (List.of("disordered", "false-end").contains(t.verdict())) broken++;
        if (t.prefix().equals("hit")) hits++;
        if (t.prefix().equals("miss")) misses++;
        journal.println(t.json());
        journal.flush();
    }

    synchronized int broken() {
        return broken;
    }

    void close() {
        journal.close();
    }

    synchronized void print(PrintStream o) {
        o.printf("submissions %d in %.1f s%n", submissions, (System.nanoTime() - start) / 1e9);
        verdicts.forEach((k, v) -> o.printf("  %-28s %d%n", k, v));
        quantiles(o, "time to first token, ms", first);
        quantiles(o, "whole stream, ms", whole);
        if (hits + misses > 0)
            o.printf("prefix hits %.3f of %d streams%n", hits / (double) (hits + misses), hits + misses);
    }

    private static void quantiles(PrintStream o, String name, List<Long> all) {
        if (all.isEmpty()) return;
        Collections.sort(all);
        o.printf(
                "%s: p50 %.1f  p90 %.1f  p99 %.1f  max %.1f%n",
                name, at(all, 0.5), at(all, 0.9), at(all, 0.99), at(all, 1));
    }

    private static double at(List<Long> all, double q) {
        return all.get(Math.min(all.size() - 1, (int) (q * all.size()))) / 1000.0;
    }
}
