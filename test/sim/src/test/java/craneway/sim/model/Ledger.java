package craneway.sim.model;

import craneway.state.disk.DiskLostException;
import craneway.state.part.LogEntry;
import craneway.state.part.PartMessage;
import craneway.state.part.Role;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;

/** What an all-knowing observer has seen of a history, and the invariants over it. */
final class Ledger {
    private record Key(long id, long term) {}

    private record Content(long before, int type, int body) {}

    private record Committed(long term, long leaderTerm, Object result) {}

    private record State(ProbedDisk disk, int writes) {
        static State of(Peer p) {
            return new State(p.disk(), p.disk().writes());
        }
    }

    private static final class Views {
        State of;
        LogView all;
        LogView synced;
    }

    private final World world;
    private final Set<Invariant> checked;
    private final Map<Long, Long> leaders = new TreeMap<>();
    private final Map<Key, Long> votes = new HashMap<>();
    private final Map<Long, Long> termSaid = new HashMap<>();
    private final Map<Key, Content> contents = new HashMap<>();
    private final TreeMap<Long, Committed> committed = new TreeMap<>();
    private final Map<Long, Long> firstOfTerm = new HashMap<>();
    private final Map<Key, Long> complete = new HashMap<>();
    private final Map<Key, Integer> proposals = new HashMap<>();
    private final Map<Integer, Views> views = new HashMap<>();
    private final Map<Integer, State> lastRead = new HashMap<>();
    private boolean quick;
    private int stride = 1;
    private int checks;
    private long acknowledged;

    Ledger(World world, Set<Invariant> checked) {
        this.world = world;
        this.checked = checked;
    }

    /** While quick, only what later checks need is recorded: for replaying steps that were checked before. */
    void quick(boolean is) {
        quick = is;
    }

    /** Reads the logs only after every so many checks, where they are long. */
    void stride(int every) {
        stride = every;
    }

    long committedIndex() {
        return committed.isEmpty() ? 0 : committed.lastKey();
    }

    long acknowledged() {
        return acknowledged;
    }

    private void require(boolean holds, Invariant i, String detail) {
        if (!holds && checked.contains(i)) throw new Violation(i, detail);
    }

    void sent(Peer p, PartMessage m) {
        termSaid.merge(p.id(), p.group().term(), Math::max);
        if (m.kind == PartMessage.VOTE) vote(p.id(), m.term, p.id());
        if (m.kind == PartMessage.VOTE_REPLY && m.granted) vote(p.id(), m.term, m.to);
        if (m.kind == PartMessage.APPEND || m.kind == PartMessage.SNAPSHOT) leads(p.id(), m.term);
    }

    private void vote(long voter, long term, long candidate) {
        var before = votes.putIfAbsent(new Key(voter, term), candidate);
        require(
                before == null || before == candidate,
                Invariant.ONE_VOTE_A_TERM,
                voter + " voted in term " + term + " for " + before + " and " + candidate);
    }

    private void leads(long id, long term) {
        var before = leaders.putIfAbsent(term, id);
        require(
                before == null || before == id,
                Invariant.ONE_LEADER_A_TERM,
                "term " + term + " is led by " + before + " and " + id);
    }

    void starting(Peer p) {
        var said = termSaid.get(p.id());
        if (said == null) return;
        var view = read(p);
        require(view.term() >= said, Invariant.TERM_NEVER_GOES_BACK, p.id() + " said " + said + ", has " + view.term());
        var vote = votes.get(new Key(p.id(), view.term()));
        require(
                vote == null || vote == view.vote(),
                Invariant.TERM_NEVER_GOES_BACK,
                p.id() + " voted in term " + view.term() + " for " + vote + ", has " + view.vote());
    }

    private LogView read(Peer p) {
        return views(p).all;
    }

    private Views views(Peer p) {
        var v = views.computeIfAbsent(p.slot(), k -> new Views());
        if (v.all != null && State.of(p).equals(v.of)) return v;
        try {
            v.of = State.of(p);
            v.all = LogView.of(p.disk().copy());
            v.synced = LogView.of(p.disk().syncedCopy());
        } catch (DiskLostException e) {
            throw new Violation(Invariant.HEALTHY_DISK_IS_KEPT, p.id() + ": " + e.getMessage());
        }
        return v;
    }

    void proposed(Peer p, long index) {
        proposals.put(new Key(p.group().term(), index), p.slot());
    }

    void applied(Peer p, long index, long term, Object result) {
        var before = committed.get(index);
        if (before != null) {
            require(
                    before.term == term && Objects.equals(before.result, result),
                    Invariant.SAME_APPLIED_EVERYWHERE,
                    "entry " + index + " was term " + before.term + ", at " + p.id() + " it is term " + term);
            return;
        }
        var leaderTerm = p.group().term();
        committed.put(index, new Committed(term, leaderTerm, result));
        firstOfTerm.merge(term, index, Math::min);
        if (Objects.equals(proposals.get(new Key(term, index)), p.slot())) acknowledged++;
        if (!quick && checked.contains(Invariant.COMMITTED_ON_MAJORITY)) onMajority(p, index, term);
    }

    private void onMajority(Peer p, long index, long term) {
        var m = p.group().members();
        var have = 0;
        for (var v : m.voters) {
            var holder = world.holder(v);
            if (holder == null || views(holder).synced.holds(index, term)) have++;
        }
        require(
                have >= m.majority(),
                Invariant.COMMITTED_ON_MAJORITY,
                "entry " + index + " of term " + term + " is synced at " + have + " of " + Arrays.toString(m.voters));
    }

    void loaded(int slot, long index, long hash) {
        var c = committed.get(index);
        require(
                c != null && Objects.equals(c.result, hash),
                Invariant.SAME_APPLIED_EVERYWHERE,
                "slot " + slot + " loaded another state of entry " + index);
    }

    /** A change of the group was taken: it must be the only one under way, after an entry of the leader's own term. */
    void changed(Peer p) {
        var own = firstOfTerm.get(p.group().term());
        require(
                own != null && own < p.group().lastIndex(),
                Invariant.ONE_CHANGE_AT_A_TIME,
                p.id() + " changes the group before an entry of its term "
                        + p.group().term() + " is committed");
    }

    void check() {
        for (var p : world.peers()) {
            if (!p.up()) continue;
            var g = p.group();
            if (g.role() == Role.LEADER) leads(p.id(), g.term());
            require(
                    p.frozen() || !g.hasLease(world.now()) || g.appliedIndex() >= committedIndex(),
                    Invariant.FRESH_LEADER_IS_CURRENT,
                    p.id() + " of term " + g.term() + " answers from " + g.appliedIndex() + ", committed is "
                            + committedIndex());
        }
        if (quick || ++checks % stride != 0) return;
        world.peers().forEach(this::checkLog);
        world.peers().forEach(this::checkComplete);
    }

    private void checkComplete(Peer p) {
        if (!p.up() || p.group().role() != Role.LEADER || !checked.contains(Invariant.LEADER_COMPLETE)) return;
        var key = new Key(p.id(), p.group().term());
        var from = complete.getOrDefault(key, 0L);
        for (var e : committed.tailMap(from, false).entrySet())
            require(
                    e.getValue().leaderTerm > key.term || read(p).holds(e.getKey(), e.getValue().term),
                    Invariant.LEADER_COMPLETE,
                    "leader " + key.id + " of term " + key.term + " lacks entry " + e.getKey());
        complete.put(key, committedIndex());
    }

    private void checkLog(Peer p) {
        var state = State.of(p);
        if (state.equals(lastRead.put(p.slot(), state))) return;
        var view = read(p);
        var changes = 0;
        for (var e : view.entries()) {
            recorded(p, view, e);
            if (e.type == LogEntry.MEMBERSHIP && e.index > committedIndex()) changes++;
        }
        require(changes <= 1, Invariant.ONE_CHANGE_AT_A_TIME, p.id() + " holds " + changes + " open changes");
    }

    private void recorded(Peer p, LogView view, LogEntry e) {
        var is = new Content(view.termAt(e.index - 1), e.type, Arrays.hashCode(e.body));
        var was = contents.putIfAbsent(new Key(e.index, e.term), is);
        require(
                was == null || was.equals(is),
                Invariant.LOGS_MATCH,
                "entry " + e.index + " of term " + e.term + " differs at " + p.id());
        if (was != null || e.type != LogEntry.MEMBERSHIP) return;
        var own = firstOfTerm.get(e.term);
        require(
                own != null && own < e.index,
                Invariant.ONE_CHANGE_AT_A_TIME,
                "change " + e.index + " of term " + e.term + " precedes a committed entry of its term");
    }

    /** The leader of the end must hold and have applied all that was ever committed. */
    void checkEnd(Peer leader) {
        require(
                leader.group().appliedIndex() >= committedIndex(),
                Invariant.ACKNOWLEDGED_STAYS,
                "leader " + leader.id() + " has " + leader.group().appliedIndex() + " of " + committedIndex());
    }

    /** What of the past decides later verdicts, for telling states apart. */
    int digest() {
        return Objects.hash(leaders, votes, committed);
    }
}
