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

/** An operator and runners who talk to one store alone, in trouble or not, while another operator works at the others. */
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

    SingleStoreClients(Cluster cluster, Cluster.Member member, ContinuousOperator others, String text) {
        this.cluster = cluster;
        this.target = member;
        this.otherOperator = others;
        this.manifestText = text;
        cluster.sim.after(CALL_INTERVAL_MICROS, this::sendCalls);
    }

    void stop() {
        stopped = true;
    }

    /** Answers may come late from now on, since the process itself runs late. */
    void allowSlowResponses(boolean is) {
        allowSlowResponses = is;
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

    /** When an order that was sent after that time was confirmed here first; -1 for not yet. */
    long lastConfirmedAt() {
        return lastConfirmedAt;
    }

    private void sendCalls() {
        if (stopped) return;
        var number = nextCall++;
        target.execute(() -> sendCall(number));
        cluster.sim.after(CALL_INTERVAL_MICROS, this::sendCalls);
    }

    private void sendCall(long number) {
        var passing = new PlatformCommands(target.store.coreClient());
        var mark = "t" + number;
        switch ((int) (number % 5)) {
            case 0, 1 ->
                passing.markZone(mark, true, cluster.sim.now(), responseHandler("order", ok -> {
                    confirmedMarks.add(mark);
                    confirmedCommands++;
                    lastConfirmedAt = cluster.sim.now();
                }));
            case 2 -> sendReads();
            case 3 -> repeatAcknowledgedCommand(passing);
            default -> sendHeartbeat(passing, "r" + number / 10, number % 10 == 9);
        }
    }

    private void sendReads() {
        otherOperator.readManifest(target);
        var asked = cluster.sim.now();
        new PlatformCommands(target.store.coreClient()).readManifest(r -> checkResponseTime("read", asked));
    }

    /** The order that was acknowledged last, once more: it is acknowledged again or left without a clear answer. */
    private void repeatAcknowledgedCommand(PlatformCommands passing) {
        var v = otherOperator.acknowledgedVersion();
        if (v > 0)
            passing.putManifest(
                    v - 1, v, manifestText, otherOperator.sourceOf(v), cluster.sim.now(), responseHandler("order sent again", ok -> {}));
    }

    private void sendHeartbeat(PlatformCommands passing, String runner, boolean last) {
        var c = new RunnerPut();
        c.service = SERVICE;
        c.runner = runner;
        c.address = "10.0.0.1:1";
        c.cell = CELL;
        c.slots = 4;
        c.incarnation = 1;
        c.sequence = last ? 2 : 1;
        c.state = last ? Rows.Runner.LEAVING : Rows.Runner.UP;
        passing.reportRunnerHeartbeat(c, cluster.sim.now(), responseHandler("beat", ok -> {
            confirmedHeartbeats++;
            if (last) confirmedLeaves.add(runner);
        }));
    }

    private <T> Consumer<Either<Problem, T>> responseHandler(String what, Consumer<T> taken) {
        var asked = cluster.sim.now();
        return r -> {
            checkResponseTime(what, asked);
            var status = r.isRight() ? 200 : r.getLeft().kind().status();
            if (status >= 400 && status < 500) recordViolation(what + " refused: " + r.getLeft());
            if (r.isLeft()) return;
            if (what.contains("order") && asked >= partitionedSince && cluster.sim.now() < partitionedUntil)
                recordViolation(what + " confirmed while cut off");
            taken.accept(r.get());
        };
    }

    /** Both ways cut until then: nothing that is sent to it meanwhile may be confirmed. */
    void expectNoConfirmationsUntil(long when) {
        partitionedSince = cluster.sim.now();
        partitionedUntil = when;
    }

    private void checkResponseTime(String what, long asked) {
        var took = cluster.sim.now() - asked;
        slowestResponseMicros = Math.max(slowestResponseMicros, took);
        if (!allowSlowResponses && took > MAX_RESPONSE_MICROS) recordViolation(what + " answered after " + took / 1e6 + " s");
    }

    /** What was confirmed here stands at the leader. */
    void checkConfirmedState() {
        var rows = cluster.leaderOf(0).store.replicas()[0].records().rows().manifest;
        for (var m : confirmedMarks) if (!rows.marks.containsKey("zone:" + m)) recordViolation("confirmed order is lost: " + m);
        var part = Parts.partOf(SERVICE);
        var runners = cluster.leaderOf(part)
                .store
                .replicas()[part]
                .records()
                .rows()
                .services
                .get(SERVICE)
                .runners;
        for (var r : confirmedLeaves) {
            var row = runners.get(r);
            if (row != null && row.state != Rows.Runner.LEAVING) recordViolation("a leave that was acknowledged is lost: " + r);
        }
    }

    private void recordViolation(String what) {
        violations.add(cluster.sim.now() / 1_000 + " " + target.name + ": " + what);
    }
}
