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
 * An operator that sends configurations and zone marks one after the other to the running stores in turn, repeats each
 * until its result is definite, and reads the manifest back meanwhile. A refused command, a lost mark and a stale read
 * are recorded in {@link #violations}.
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
    /** A store that this operator does not use, or null. */
    Cluster.Member avoidedStore;

    ContinuousOperator(Cluster cluster, String manifestText) {
        this.cluster = cluster;
        this.manifestText = manifestText;
        lastAcknowledgedAt = cluster.sim.now();
        cluster.sim.scheduleAfter(COMMAND_INTERVAL_MICROS, this::sendCommands);
        cluster.sim.scheduleAfter(READ_INTERVAL_MICROS, this::sendReads);
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

    /** The source text of the configuration that was acknowledged with this version. */
    String sourceOf(long version) {
        return sourceByVersion.get(version);
    }

    int readCount() {
        return readCount;
    }

    /** The longest time without an acknowledgement since the last call of this method, in seconds. */
    double takeLongestGapSeconds() {
        var longestMicros = Math.max(longestGapMicros, cluster.sim.now() - lastAcknowledgedAt);
        longestGapMicros = 0;
        lastAcknowledgedAt = cluster.sim.now();
        return longestMicros / (double) Cluster.MICROS_PER_SECOND;
    }

    private Cluster.Member nextRunningStore() {
        var runningStores = cluster.members.values().stream()
                .filter(member -> member.running && !member.diskHung && member.store != null && member != avoidedStore)
                .toList();
        return runningStores.isEmpty()
                ? null
                : runningStores.get(Math.floorMod(nextStoreIndex++, runningStores.size()));
    }

    private void sendCommands() {
        if (stopped) return;
        var now = cluster.sim.now();
        var member = nextRunningStore();
        if (member != null && (!awaitingResponse || now - lastSentAt > RESPONSE_TIMEOUT_MICROS))
            sendCommand(member, now);
        cluster.sim.scheduleAfter(COMMAND_INTERVAL_MICROS, this::sendCommands);
    }

    private void sendCommand(Cluster.Member member, long now) {
        var commands = new PlatformCommands(member.store.coreClient());
        var number = commandNumber;
        awaitingResponse = true;
        lastSentAt = now;
        if (number % 3 == 2) commands.markZone("m" + number, true, now, result -> handleResponse(number, result));
        else {
            sentVersion = acknowledgedVersion + 1;
            commands.putManifest(
                    acknowledgedVersion,
                    sentVersion,
                    manifestText,
                    "source " + number,
                    now,
                    result -> handleResponse(number, result));
        }
    }

    private void handleResponse(long number, Either<Problem, Void> result) {
        if (number != commandNumber) return;
        awaitingResponse = false;
        if (result.isLeft()) {
            var kind = result.getLeft().kind();
            if (kind == ProblemKind.RACE_LOST || kind == ProblemKind.BAD_MANIFEST)
                recordViolation("command " + number + " refused: " + result.getLeft());
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
        var member = nextRunningStore();
        if (member != null) readManifest(member);
        cluster.sim.scheduleAfter(READ_INTERVAL_MICROS, this::sendReads);
    }

    /** Reads the manifest from this store; the response must contain all that was acknowledged before the request. */
    void readManifest(Cluster.Member member) {
        var minVersion = acknowledgedVersion;
        var expectedZones = Set.copyOf(markedZones);
        new PlatformCommands(member.store.coreClient()).readManifest(result -> {
            if (result.isRight()) checkRead(member.name, minVersion, expectedZones, result.get());
        });
    }

    private void checkRead(String storeName, long minVersion, Set<String> expectedZones, Rows.Manifest manifest) {
        readCount++;
        if (manifest.version < minVersion || manifest.version > sentVersion)
            recordViolation(storeName + " returned version " + manifest.version + ", acknowledged was " + minVersion);
        for (var zone : expectedZones)
            if (!manifest.marks.containsKey("zone:" + zone))
                recordViolation(storeName + " has lost the mark of " + zone);
    }

    private void recordViolation(String description) {
        violations.add(cluster.sim.now() / 1_000 + " " + description);
    }
}
