package craneway.sim.model;

import craneway.state.part.Members;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Changes of the group and hand-overs as the store's keeper asks for them, and which disks may still be lost. */
final class Steward {
    private static final int NEAR = 64;

    private final World world;

    Steward(World world) {
        this.world = world;
    }

    void change(Peer p, Choice c) {
        if (!p.runs()) return;
        var now = world.now();
        if (c.kind() == Choice.Kind.HAND_OVER) {
            p.group().transferLeadership(world.peer(c.b()).id(), now);
        } else {
            var next = next(p, c);
            if (next != null && keeps(next, 0) && p.group().changeMembers(next, now))
                world.ledger().changed(p);
        }
        p.settle();
    }

    private Members next(Peer p, Choice c) {
        var m = p.group().members();
        return switch (c.kind()) {
            case LEARN -> {
                var id = world.peer(c.b()).id();
                yield m.learnerId != 0 || m.isMember(id) ? null : m.withLearner(id, "z" + c.b());
            }
            case PROMOTE -> near(p, m) ? m.withLearnerPromoted() : null;
            default -> {
                var id = memberAt(m, c.b());
                yield id == 0 || id == p.id() || m.voters.length == 1 ? null : m.without(id);
            }
        };
    }

    private boolean near(Peer p, Members m) {
        return m.learnerId != 0 && p.group().matchIndexOf(m.learnerId) >= p.group().lastIndex() - NEAR;
    }

    private static long memberAt(Members m, int slot) {
        for (var v : m.voters) if (v % 100 == slot) return v;
        return 0;
    }

    /** What a keeper that serves does next: lost disks go, a learner is promoted, a voter too many goes, one is added. */
    void manage() {
        var p = world.leader();
        if (p == null || !p.group().hasLease(world.now())) return;
        var m = p.group().members();
        var next = wanted(p, m);
        if (next != null && keeps(next, 0) && p.group().changeMembers(next, world.now()))
            world.ledger().changed(p);
        p.settle();
    }

    private Members wanted(Peer p, Members m) {
        if (m.learnerId != 0 && world.lost(m.learnerId)) return m.without(m.learnerId);
        for (var v : m.voters) if (v != p.id() && world.lost(v)) return m.without(v);
        if (near(p, m)) return m.withLearnerPromoted();
        if (m.learnerId != 0) return world.holder(m.learnerId).runs() ? null : m.without(m.learnerId);
        if (m.voters.length > world.shape().voters()) return m.without(quietest(p, m));
        if (m.voters.length == world.shape().voters()) return null;
        return world.peers().stream()
                .filter(x -> x.runs() && !m.isMember(x.id()))
                .findFirst()
                .map(x -> m.withLearner(x.id(), "z" + x.slot()))
                .orElse(null);
    }

    private static long quietest(Peer p, Members m) {
        var best = 0L;
        for (var v : m.voters) {
            if (v == p.id()) continue;
            if (best == 0 || p.group().lastHeardAt(v) < p.group().lastHeardAt(best)) best = v;
        }
        return best;
    }

    /** Whether each group that some log names would keep a majority of whole disks. */
    boolean mayLose(Peer p) {
        return groups().stream().allMatch(m -> keeps(m, p.id()));
    }

    private List<Members> groups() {
        var all = new ArrayList<Members>();
        for (var p : world.peers()) all.add(p.members());
        return all;
    }

    private boolean keeps(Members m, long losing) {
        if (losing != 0 && !m.isVoter(losing)) return true;
        var whole = Arrays.stream(m.voters)
                .filter(v -> v != losing && !world.lost(v))
                .count();
        return whole >= m.majority();
    }
}
