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
 * clearly, to any store that runs, and reads back meanwhile. What breaks a promise stands in {@link #violations}.
 */
final class ContinuousOperator {
    private static final long COMMAND_INTERVAL_MICROS = 100_000;
    private static final long RESPONSE_TIMEOUT_MICROS = 1_000_000;
    private static final long READ_INTERVAL_MICROS = 250_000;

    private final Cluster cluster;
    private final String manifestText;
    private final Set<String> markedZones = new HashSet<>();
    final List<String> violations = new ArrayList<>();
    private long acknowledgedVersion;
    private long sentVersion;
    private long commandNumber;
    private long lastSentAt = Long.MIN_VALUE / 2;
    private boolean awaitingResponse;
    private int nextStoreIndex;
    private boolean stopped;
    private long lastAcknowledgedAt;
    private long longestGapMicros;
    private int acknowledgedCount;
    private int readCount;
    private final Map<Long, String> sourceByVersion = new HashMap<>();
    /** A store that this operator does not talk to; another does. */
    Cluster.Member avoidedStore;

    ContinuousOperator(Cluster cluster, String text) {
        this.cluster = cluster;
        this.manifestText = text;
        lastAcknowledgedAt = cluster.sim.now();
        cluster.sim.after(COMMAND_INTERVAL_MICROS, this::sendCommands);
        cluster.sim.after(READ_INTERVAL_MICROS, this::sendReads);
    }

    void stop() {
        stopped = true;
    }

    int acknowledgedCount() {
        return acknowledgedCount;
    }

    long acknowledgedVersion() {
        return acknowledgedVersion;
    }

    /** The source of the configuration that was acknowledged under this number. */
    String sourceOf(long number) {
        return sourceByVersion.get(number);
    }

    int readCount() {
        return readCount;
    }

    /** The longest time without an acknowledgement since it was asked last, in seconds. */
    double takeLongestGapSeconds() {
        var is = Math.max(longestGapMicros, cluster.sim.now() - lastAcknowledgedAt);
        longestGapMicros = 0;
        lastAcknowledgedAt = cluster.sim.now();
        return is / (double) Cluster.MICROS_PER_SECOND;
    }

    private Cluster.Member nextRunningStore() {
        var up = cluster.members.values().stream()
                .filter(m -> m.running && !m.diskHung && m.store != null && m != avoidedStore)
                .toList();
        return up.isEmpty() ? null : up.get(Math.floorMod(nextStoreIndex++, up.size()));
    }

    private void sendCommands() {
        if (stopped) return;
        var now = cluster.sim.now();
        var to = nextRunningStore();
        if (to != null && (!awaitingResponse || now - lastSentAt > RESPONSE_TIMEOUT_MICROS)) sendCommand(to, now);
        cluster.sim.after(COMMAND_INTERVAL_MICROS, this::sendCommands);
    }

    private void sendCommand(Cluster.Member to, long now) {
        var passing = new PlatformCommands(to.store.coreClient());
        var number = commandNumber;
        awaitingResponse = true;
        lastSentAt = now;
        if (number % 3 == 2) passing.markZone("m" + number, true, now, r -> handleResponse(number, r));
        else {
            sentVersion = acknowledgedVersion + 1;
            passing.putManifest(acknowledgedVersion, sentVersion, manifestText, "source " + number, now, r -> handleResponse(number, r));
        }
    }

    private void handleResponse(long number, Either<Problem, Void> r) {
        if (number != commandNumber) return;
        awaitingResponse = false;
        if (r.isLeft()) {
            var kind = r.getLeft().kind();
            if (kind == ProblemKind.RACE_LOST || kind == ProblemKind.BAD_MANIFEST)
                recordViolation("order " + number + " refused: " + r.getLeft());
            return;
        }
        if (number % 3 == 2) markedZones.add("m" + number);
        else {
            acknowledgedVersion = sentVersion;
            sourceByVersion.put(acknowledgedVersion, "source " + number);
        }
        commandNumber++;
        acknowledgedCount++;
        var now = cluster.sim.now();
        longestGapMicros = Math.max(longestGapMicros, now - lastAcknowledgedAt);
        lastAcknowledgedAt = now;
    }

    private void sendReads() {
        if (stopped) return;
        var to = nextRunningStore();
        if (to != null) readManifest(to);
        cluster.sim.after(READ_INTERVAL_MICROS, this::sendReads);
    }

    /** Reads back at this store; an answer must hold all that was acknowledged before it was asked. */
    void readManifest(Cluster.Member to) {
        var least = acknowledgedVersion;
        var zones = Set.copyOf(markedZones);
        new PlatformCommands(to.store.coreClient()).readManifest(r -> {
            if (r.isRight()) checkRead(to.name, least, zones, r.get());
        });
    }

    private void checkRead(String at, long least, Set<String> zones, Rows.Manifest m) {
        readCount++;
        if (m.version < least || m.version > sentVersion) recordViolation(at + " reads " + m.version + ", acknowledged " + least);
        for (var z : zones) if (!m.marks.containsKey("zone:" + z)) recordViolation(at + " has lost the mark of " + z);
    }

    private void recordViolation(String what) {
        violations.add(cluster.sim.now() / 1_000 + " " + what);
    }
}
