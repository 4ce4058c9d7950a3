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
final class TroubledMember {
    private static final long PACE = 200_000;
    private static final long SECOND = 1_000_000;
    private static final String SERVICE = "registry";
    private static final String CELL = "zagreb-a";

    private final Cluster cluster;
    private final Cluster.Member member;
    private final SteadyOperator others;
    private final String text;
    private final Set<String> marks = new HashSet<>();
    private final Set<String> leaving = new HashSet<>();
    final List<String> faults = new ArrayList<>();
    private long calls;
    private long cutSince = Long.MAX_VALUE;
    private long cutUntil;
    private boolean stopped;
    private boolean late;
    private int confirmed;
    private int beats;
    private long lastConfirmed = -1;
    private long slowest;

    TroubledMember(Cluster cluster, Cluster.Member member, SteadyOperator others, String text) {
        this.cluster = cluster;
        this.member = member;
        this.others = others;
        this.text = text;
        cluster.sim.scheduleAfter(PACE, this::calls);
    }

    void stop() {
        stopped = true;
    }

    /** Answers may come late from now on, since the process itself runs late. */
    void late(boolean is) {
        late = is;
    }

    int confirmed() {
        return confirmed;
    }

    int beats() {
        return beats;
    }

    long slowest() {
        return slowest;
    }

    /** When an order that was sent after that time was confirmed here first; -1 for not yet. */
    long lastConfirmed() {
        return lastConfirmed;
    }

    private void calls() {
        if (stopped) return;
        var number = calls++;
        member.act(() -> call(number));
        cluster.sim.scheduleAfter(PACE, this::calls);
    }

    private void call(long number) {
        var passing = new PlatformCommands(member.store.coreClient());
        var mark = "t" + number;
        switch ((int) (number % 5)) {
            case 0, 1 ->
                passing.markZone(mark, true, cluster.sim.now(), answer("order", ok -> {
                    marks.add(mark);
                    confirmed++;
                    lastConfirmed = cluster.sim.now();
                }));
            case 2 -> read();
            case 3 -> resend(passing);
            default -> beat(passing, "r" + number / 10, number % 10 == 9);
        }
    }

    private void read() {
        others.read(member);
        var asked = cluster.sim.now();
        new PlatformCommands(member.store.coreClient()).readManifest(r -> timely("read", asked));
    }

    /** The order that was acknowledged last, once more: it is acknowledged again or left without a clear answer. */
    private void resend(PlatformCommands passing) {
        var v = others.version();
        if (v > 0)
            passing.putManifest(
                    v - 1, v, text, others.sourceOf(v), cluster.sim.now(), answer("order sent again", ok -> {}));
    }

    private void beat(PlatformCommands passing, String runner, boolean last) {
        var c = new RunnerPut();
        c.service = SERVICE;
        c.runner = runner;
        c.address = "10.0.0.1:1";
        c.cell = CELL;
        c.slots = 4;
        c.incarnation = 1;
        c.sequence = last ? 2 : 1;
        c.state = last ? Rows.Runner.LEAVING : Rows.Runner.UP;
        passing.reportRunnerHeartbeat(c, cluster.sim.now(), answer("beat", ok -> {
            beats++;
            if (last) leaving.add(runner);
        }));
    }

    private <T> Consumer<Either<Problem, T>> answer(String what, Consumer<T> taken) {
        var asked = cluster.sim.now();
        return r -> {
            timely(what, asked);
            var status = r.isRight() ? 200 : r.getLeft().kind().status();
            if (status >= 400 && status < 500) fault(what + " refused: " + r.getLeft());
            if (r.isLeft()) return;
            if (what.contains("order") && asked >= cutSince && cluster.sim.now() < cutUntil)
                fault(what + " confirmed while cut off");
            taken.accept(r.get());
        };
    }

    /** Both ways cut until then: nothing that is sent to it meanwhile may be confirmed. */
    void cutUntil(long when) {
        cutSince = cluster.sim.now();
        cutUntil = when;
    }

    private void timely(String what, long asked) {
        var took = cluster.sim.now() - asked;
        slowest = Math.max(slowest, took);
        if (!late && took > SECOND) fault(what + " answered after " + took / 1e6 + " s");
    }

    /** What was confirmed here stands at the leader. */
    void judge() {
        var rows = cluster.owner(0).store.replicas()[0].records().rows().manifest;
        for (var m : marks) if (!rows.marks.containsKey("zone:" + m)) fault("confirmed order is lost: " + m);
        var part = Parts.partOf(SERVICE);
        var runners = cluster.owner(part)
                .store
                .replicas()[part]
                .records()
                .rows()
                .services
                .get(SERVICE)
                .runners;
        for (var r : leaving) {
            var row = runners.get(r);
            if (row != null && row.state != Rows.Runner.LEAVING) fault("a leave that was acknowledged is lost: " + r);
        }
    }

    private void fault(String what) {
        faults.add(cluster.sim.now() / 1_000 + " " + member.name + ": " + what);
    }
}
