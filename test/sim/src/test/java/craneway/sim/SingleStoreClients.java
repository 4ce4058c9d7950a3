package craneway.sim;

import craneway.control.operator.PlatformCommands;
import craneway.model.problem.Problem;
import craneway.model.unit.Parts;
import craneway.state.message.Commands.RunnerPut;
import craneway.state.record.Rows;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * An operator and runners that use one store only, whether it is impaired or not, while a {@link ContinuousOperator}
 * uses the others. Checks that responses are in time and that what this store confirmed is kept; errors go to {@link
 * #violations}.
 */
final class SingleStoreClients {
    private static final long CALL_INTERVAL_MICROS = 200_000;
    private static final long MAX_RESPONSE_MICROS = 1_000_000;
    private static final String SERVICE = "registry";
    private static final String CELL = "zagreb-a";

    private final Cluster cluster;
    private final Cluster.Member target;
    private final ContinuousOperator otherOperator;
    private final String manifestText;
    private final Set<String> confirmedMarks = new HashSet<>();
    private final Set<String> confirmedLeaves = new HashSet<>();
    final List<String> violations = new ArrayList<>();
    private long nextCall;
    private long partitionedSince = Long.MAX_VALUE;
    private long partitionedUntil;
    private boolean stopped;
    private boolean allowSlowResponses;
    private int confirmedCommands;
    private int confirmedHeartbeats;
    private long lastConfirmedAt = -1;
    private long slowestResponseMicros;

    SingleStoreClients(Cluster cluster, Cluster.Member target, ContinuousOperator otherOperator, String manifestText) {
        this.cluster = cluster;
        this.target = target;
        this.otherOperator = otherOperator;
        this.manifestText = manifestText;
        cluster.sim.scheduleAfter(CALL_INTERVAL_MICROS, this::sendCalls);
    }

    void stop() {
        stopped = true;
    }

    /** Sets whether responses may be slow, because the process itself is slowed down or paused. */
    void allowSlowResponses(boolean allow) {
        allowSlowResponses = allow;
    }

    int confirmedCommands() {
        return confirmedCommands;
    }

    int confirmedHeartbeats() {
        return confirmedHeartbeats;
    }

    long slowestResponseMicros() {
        return slowestResponseMicros;
    }

    /** When this store last confirmed a command; -1 if it has confirmed none yet. */
    long lastConfirmedAt() {
        return lastConfirmedAt;
    }

    private void sendCalls() {
        if (stopped) return;
        var number = nextCall++;
        target.execute(() -> sendCall(number));
        cluster.sim.scheduleAfter(CALL_INTERVAL_MICROS, this::sendCalls);
    }

    private void sendCall(long number) {
        var commands = new PlatformCommands(target.store.coreClient());
        var mark = "t" + number;
        switch ((int) (number % 5)) {
            case 0, 1 ->
                commands.markZone(mark, true, cluster.sim.now(), responseHandler("command", ok -> {
                    confirmedMarks.add(mark);
                    confirmedCommands++;
                    lastConfirmedAt = cluster.sim.now();
                }));
            case 2 -> sendReads();
            case 3 -> repeatAcknowledgedCommand(commands);
            default -> sendHeartbeat(commands, "r" + number / 10, number % 10 == 9);
        }
    }

    private void sendReads() {
        otherOperator.readManifest(target);
        var sentAt = cluster.sim.now();
        new PlatformCommands(target.store.coreClient()).readManifest(result -> checkResponseTime("read", sentAt));
    }

    /** Repeats the last acknowledged configuration, which must be acknowledged again or get a transient error. */
    private void repeatAcknowledgedCommand(PlatformCommands commands) {
        var version = otherOperator.acknowledgedVersion();
        if (version > 0)
            commands.putManifest(
                    version - 1,
                    version,
                    manifestText,
                    otherOperator.sourceOf(version),
                    cluster.sim.now(),
                    responseHandler("repeated command", ok -> {}));
    }

    private void sendHeartbeat(PlatformCommands commands, String runner, boolean leaves) {
        var put = new RunnerPut();
        put.service = SERVICE;
        put.runner = runner;
        put.address = "10.0.0.1:1";
        put.cell = CELL;
        put.slots = 4;
        put.incarnation = 1;
        put.sequence = leaves ? 2 : 1;
        put.state = leaves ? Rows.Runner.LEAVING : Rows.Runner.UP;
        commands.reportRunnerHeartbeat(put, cluster.sim.now(), responseHandler("heartbeat", ok -> {
            confirmedHeartbeats++;
            if (leaves) confirmedLeaves.add(runner);
        }));
    }

    private <T> Consumer<Either<Problem, T>> responseHandler(String description, Consumer<T> onSuccess) {
        var sentAt = cluster.sim.now();
        return result -> {
            checkResponseTime(description, sentAt);
            var status = result.isRight() ? 200 : result.getLeft().kind().status();
            if (status >= 400 && status < 500) recordViolation(description + " refused: " + result.getLeft());
            if (result.isLeft()) return;
            if (description.contains("command") && sentAt >= partitionedSince && cluster.sim.now() < partitionedUntil)
                recordViolation(description + " confirmed while partitioned");
            onSuccess.accept(result.get());
        };
    }

    /**
     * Declares that the store is partitioned from now until this time: no command sent to it meanwhile may be
     * confirmed.
     */
    void expectNoConfirmationsUntil(long endsAt) {
        partitionedSince = cluster.sim.now();
        partitionedUntil = endsAt;
    }

    private void checkResponseTime(String description, long sentAt) {
        var responseMicros = cluster.sim.now() - sentAt;
        slowestResponseMicros = Math.max(slowestResponseMicros, responseMicros);
        if (!allowSlowResponses && responseMicros > MAX_RESPONSE_MICROS)
            recordViolation(description + " answered after " + responseMicros / 1e6 + " s");
    }

    /** Checks that the leaders have all marks and runner leaves that this store confirmed. */
    void checkConfirmedState() {
        var rows = cluster.leaderOf(0).store.replicas()[0].records().rows().manifest;
        for (var mark : confirmedMarks)
            if (!rows.marks.containsKey("zone:" + mark)) recordViolation("a confirmed mark is lost: " + mark);
        var part = Parts.partOf(SERVICE);
        var runners = cluster.leaderOf(part)
                .store
                .replicas()[part]
                .records()
                .rows()
                .services
                .get(SERVICE)
                .runners;
        for (var runner : confirmedLeaves) {
            var row = runners.get(runner);
            if (row != null && row.state != Rows.Runner.LEAVING)
                recordViolation("a confirmed leave of a runner is lost: " + runner);
        }
    }

    private void recordViolation(String description) {
        violations.add(cluster.sim.now() / 1_000 + " " + target.name + ": " + description);
    }
}
