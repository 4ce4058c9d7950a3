package craneway.sim;

import craneway.control.operator.PlatformCommands;
import craneway.model.problem.Problem;
import craneway.model.problem.ProblemKind;
import craneway.state.record.Rows;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * An operator who sends one order after another, configurations and zone marks in turn, each again until it is answered
 * clearly, to any store that runs, and reads back meanwhile. What breaks a promise stands in {@link #faults}.
 */
final class SteadyOperator {
    private static final long PACE = 100_000;
    private static final long SILENCE = 1_000_000;
    private static final long READ = 250_000;

    private final Cluster cluster;
    private final String text;
    private final Set<String> marks = new HashSet<>();
    final List<String> faults = new ArrayList<>();
    private long version;
    private long sent;
    private long count;
    private long callAt = Long.MIN_VALUE / 2;
    private boolean open;
    private int turn;
    private boolean stopped;
    private long acknowledgedAt;
    private long worst;
    private int acknowledged;
    private int reads;
    private final Map<Long, String> sources = new HashMap<>();
    /** A store that this operator does not talk to; another does. */
    Cluster.Member avoids;

    SteadyOperator(Cluster cluster, String text) {
        this.cluster = cluster;
        this.text = text;
        acknowledgedAt = cluster.sim.now();
        cluster.sim.scheduleAfter(PACE, this::orders);
        cluster.sim.scheduleAfter(READ, this::reads);
    }

    void stop() {
        stopped = true;
    }

    int acknowledged() {
        return acknowledged;
    }

    long version() {
        return version;
    }

    /** The source of the configuration that was acknowledged under this number. */
    String sourceOf(long number) {
        return sources.get(number);
    }

    int readBack() {
        return reads;
    }

    /** The longest time without an acknowledgement since it was asked last, in seconds. */
    double worst() {
        var is = Math.max(worst, cluster.sim.now() - acknowledgedAt);
        worst = 0;
        acknowledgedAt = cluster.sim.now();
        return is / (double) Cluster.SECOND;
    }

    private Cluster.Member any() {
        var up = cluster.members.values().stream()
                .filter(m -> m.up && !m.hung && m.store != null && m != avoids)
                .toList();
        return up.isEmpty() ? null : up.get(Math.floorMod(turn++, up.size()));
    }

    private void orders() {
        if (stopped) return;
        var now = cluster.sim.now();
        var to = any();
        if (to != null && (!open || now - callAt > SILENCE)) order(to, now);
        cluster.sim.scheduleAfter(PACE, this::orders);
    }

    private void order(Cluster.Member to, long now) {
        var passing = new PlatformCommands(to.store.coreClient());
        var number = count;
        open = true;
        callAt = now;
        if (number % 3 == 2) passing.markZone("m" + number, true, now, r -> answered(number, r));
        else {
            sent = version + 1;
            passing.putManifest(version, sent, text, "source " + number, now, r -> answered(number, r));
        }
    }

    private void answered(long number, Either<Problem, Void> r) {
        if (number != count) return;
        open = false;
        if (r.isLeft()) {
            var kind = r.getLeft().kind();
            if (kind == ProblemKind.RACE_LOST || kind == ProblemKind.BAD_MANIFEST)
                fault("order " + number + " refused: " + r.getLeft());
            return;
        }
        if (number % 3 == 2) marks.add("m" + number);
        else {
            version = sent;
            sources.put(version, "source " + number);
        }
        count++;
        acknowledged++;
        var now = cluster.sim.now();
        worst = Math.max(worst, now - acknowledgedAt);
        acknowledgedAt = now;
    }

    private void reads() {
        if (stopped) return;
        var to = any();
        if (to != null) read(to);
        cluster.sim.scheduleAfter(READ, this::reads);
    }

    /** Reads back at this store; an answer must hold all that was acknowledged before it was asked. */
    void read(Cluster.Member to) {
        var least = version;
        var zones = Set.copyOf(marks);
        new PlatformCommands(to.store.coreClient()).readManifest(r -> {
            if (r.isRight()) judge(to.name, least, zones, r.get());
        });
    }

    private void judge(String at, long least, Set<String> zones, Rows.Manifest m) {
        reads++;
        if (m.version < least || m.version > sent) fault(at + " reads " + m.version + ", acknowledged " + least);
        for (var z : zones) if (!m.marks.containsKey("zone:" + z)) fault(at + " has lost the mark of " + z);
    }

    private void fault(String what) {
        faults.add(cluster.sim.now() / 1_000 + " " + what);
    }
}
