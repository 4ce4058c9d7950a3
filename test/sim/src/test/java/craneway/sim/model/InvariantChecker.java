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

/** Records what an observer of all members has seen in a history and checks the {@link Invariant}s over it. */
final class InvariantChecker {
    /** A member's id or an entry's index together with a term. */
    private record Key(long id, long term) {}

    /** The content of an entry with the term of its predecessor. */
    private record Content(long previousTerm, int type, int bodyHash) {}

    /** A committed entry: its term, the term in which it was first seen committed, and what applying it returned. */
    private record Committed(long term, long leaderTerm, Object result) {}

    /** The version of a disk's content: the disk object and the number of writes to it. */
    private record DiskState(TrackedDisk disk, int writes) {
        static DiskState of(Peer peer) {
            return new DiskState(peer.disk(), peer.disk().writeCount());
        }
    }

    /** The logs of one member as read from its disk, kept until the disk changes. */
    private static final class Logs {
        DiskState state;
        LogView written;
        LogView synced;
    }

    private final World world;
    private final Set<Invariant> enabled;
    private final Map<Long, Long> leaderByTerm = new TreeMap<>();
    private final Map<Key, Long> candidateByVote = new HashMap<>();
    private final Map<Long, Long> highestTermSent = new HashMap<>();
    private final Map<Key, Content> contentByEntry = new HashMap<>();
    private final TreeMap<Long, Committed> committedEntries = new TreeMap<>();
    private final Map<Long, Long> firstCommittedInTerm = new HashMap<>();
    private final Map<Key, Long> checkedUpTo = new HashMap<>();
    private final Map<Key, Integer> proposerByEntry = new HashMap<>();
    private final Map<Integer, Logs> viewsBySlot = new HashMap<>();
    private final Map<Integer, DiskState> lastReadState = new HashMap<>();
    private boolean replaying;
    private int logCheckInterval = 1;
    private int checkCount;
    private long acknowledgedCount;

    InvariantChecker(World world, Set<Invariant> enabled) {
        this.world = world;
        this.enabled = enabled;
    }

    /** Turns off checks that later ones do not depend on, for replaying steps that were checked before. */
    void setReplaying(boolean value) {
        replaying = value;
    }

    /** Reads the logs only in every {@code interval}th check, for histories in which logs grow long. */
    void setLogCheckInterval(int interval) {
        logCheckInterval = interval;
    }

    /** The highest index that some member has applied. */
    long committedIndex() {
        return committedEntries.isEmpty() ? 0 : committedEntries.lastKey();
    }

    /** The number of entries that were committed by the leader that proposed them. */
    long acknowledgedCount() {
        return acknowledgedCount;
    }

    private void require(boolean holds, Invariant invariant, String detail) {
        if (!holds && enabled.contains(invariant)) throw new Violation(invariant, detail);
    }

    /** Records a message of a member: its term, its vote, or that it acts as a leader. */
    void recordSent(Peer sender, PartMessage message) {
        highestTermSent.merge(sender.id(), sender.group().term(), Math::max);
        if (message.kind == PartMessage.VOTE) recordVote(sender.id(), message.term, sender.id());
        if (message.kind == PartMessage.VOTE_REPLY && message.granted)
            recordVote(sender.id(), message.term, message.to);
        if (message.kind == PartMessage.APPEND || message.kind == PartMessage.SNAPSHOT)
            recordLeader(sender.id(), message.term);
    }

    private void recordVote(long voter, long term, long candidate) {
        var earlier = candidateByVote.putIfAbsent(new Key(voter, term), candidate);
        require(
                earlier == null || earlier == candidate,
                Invariant.ONE_VOTE_A_TERM,
                voter + " voted in term " + term + " for " + earlier + " and " + candidate);
    }

    private void recordLeader(long id, long term) {
        var earlier = leaderByTerm.putIfAbsent(term, id);
        require(
                earlier == null || earlier == id,
                Invariant.ONE_LEADER_A_TERM,
                "term " + term + " is led by " + earlier + " and " + id);
    }

    /** Checks that a member's disk holds the term and the vote that it has sent. */
    void checkBeforeStart(Peer peer) {
        var sentTerm = highestTermSent.get(peer.id());
        if (sentTerm == null) return;
        var view = writtenLog(peer);
        require(
                view.term() >= sentTerm,
                Invariant.TERM_NEVER_GOES_BACK,
                peer.id() + " sent term " + sentTerm + " but has stored " + view.term());
        var vote = candidateByVote.get(new Key(peer.id(), view.term()));
        require(
                vote == null || vote == view.votedFor(),
                Invariant.TERM_NEVER_GOES_BACK,
                peer.id() + " voted in term " + view.term() + " for " + vote + " but has stored " + view.votedFor());
    }

    private LogView writtenLog(Peer peer) {
        return logsOf(peer).written;
    }

    private Logs logsOf(Peer peer) {
        var views = viewsBySlot.computeIfAbsent(peer.slot(), slot -> new Logs());
        if (views.written != null && DiskState.of(peer).equals(views.state)) return views;
        try {
            views.state = DiskState.of(peer);
            views.written = LogView.of(peer.disk().copy());
            views.synced = LogView.of(peer.disk().syncedCopy());
        } catch (DiskLostException e) {
            throw new Violation(Invariant.HEALTHY_DISK_IS_KEPT, peer.id() + ": " + e.getMessage());
        }
        return views;
    }

    /** Records which member proposed an entry. */
    void recordProposed(Peer leader, long index) {
        proposerByEntry.put(new Key(leader.group().term(), index), leader.slot());
    }

    /** Records that a member applied an entry, and compares it with what other members applied. */
    void recordApplied(Peer peer, long index, long term, Object result) {
        var earlier = committedEntries.get(index);
        if (earlier != null) {
            require(
                    earlier.term == term && Objects.equals(earlier.result, result),
                    Invariant.SAME_APPLIED_EVERYWHERE,
                    "entry " + index + " was term " + earlier.term + ", at " + peer.id() + " it is term " + term);
            return;
        }
        var leaderTerm = peer.group().term();
        committedEntries.put(index, new Committed(term, leaderTerm, result));
        firstCommittedInTerm.merge(term, index, Math::min);
        if (Objects.equals(proposerByEntry.get(new Key(term, index)), peer.slot())) acknowledgedCount++;
        if (!replaying && enabled.contains(Invariant.COMMITTED_ON_MAJORITY)) checkOnMajority(peer, index, term);
    }

    /** A voter whose disk was lost counts as one that had the entry. */
    private void checkOnMajority(Peer peer, long index, long term) {
        var members = peer.group().members();
        var syncedCount = 0;
        for (var voter : members.voters) {
            var holder = world.peerWithId(voter);
            if (holder == null || logsOf(holder).synced.holds(index, term)) syncedCount++;
        }
        require(
                syncedCount >= members.majority(),
                Invariant.COMMITTED_ON_MAJORITY,
                "entry " + index + " of term " + term + " is synced at " + syncedCount + " of "
                        + Arrays.toString(members.voters));
    }

    /** Checks that a snapshot which a member loaded holds the state after the given entry. */
    void checkLoaded(int slot, long index, long hash) {
        var entry = committedEntries.get(index);
        require(
                entry != null && Objects.equals(entry.result, hash),
                Invariant.SAME_APPLIED_EVERYWHERE,
                "slot " + slot + " loaded a different state for entry " + index);
    }

    /**
     * Checks a membership change that a leader just accepted: an entry of the leader's own term must be committed
     * before it.
     */
    void checkMembershipChange(Peer leader) {
        var firstOwn = firstCommittedInTerm.get(leader.group().term());
        require(
                firstOwn != null && firstOwn < leader.group().lastIndex(),
                Invariant.ONE_CHANGE_AT_A_TIME,
                leader.id() + " changes the group before an entry of its term "
                        + leader.group().term() + " is committed");
    }

    /** Checks all invariants on the current state of all members. */
    void check() {
        for (var peer : world.peers()) {
            if (!peer.isUp()) continue;
            var group = peer.group();
            if (group.role() == Role.LEADER) recordLeader(peer.id(), group.term());
            require(
                    peer.isFrozen() || !group.hasLease(world.now()) || group.appliedIndex() >= committedIndex(),
                    Invariant.FRESH_LEADER_IS_CURRENT,
                    peer.id() + " of term " + group.term() + " answers from " + group.appliedIndex() + ", committed is "
                            + committedIndex());
        }
        if (replaying || ++checkCount % logCheckInterval != 0) return;
        world.peers().forEach(this::checkLog);
        world.peers().forEach(this::checkLeaderComplete);
    }

    private void checkLeaderComplete(Peer peer) {
        if (!peer.isUp() || peer.group().role() != Role.LEADER || !enabled.contains(Invariant.LEADER_COMPLETE)) return;
        var key = new Key(peer.id(), peer.group().term());
        var checkedIndex = checkedUpTo.getOrDefault(key, 0L);
        for (var entry : committedEntries.tailMap(checkedIndex, false).entrySet())
            require(
                    entry.getValue().leaderTerm > key.term
                            || writtenLog(peer).holds(entry.getKey(), entry.getValue().term),
                    Invariant.LEADER_COMPLETE,
                    "leader " + key.id + " of term " + key.term + " lacks entry " + entry.getKey());
        checkedUpTo.put(key, committedIndex());
    }

    private void checkLog(Peer peer) {
        var state = DiskState.of(peer);
        if (state.equals(lastReadState.put(peer.slot(), state))) return;
        var view = writtenLog(peer);
        var openChanges = 0;
        for (var entry : view.entries()) {
            checkEntry(peer, view, entry);
            if (entry.type == LogEntry.MEMBERSHIP && entry.index > committedIndex()) openChanges++;
        }
        require(
                openChanges <= 1,
                Invariant.ONE_CHANGE_AT_A_TIME,
                peer.id() + " holds " + openChanges + " uncommitted membership changes");
    }

    /** Compares an entry with the same one in other logs, and checks the position of a membership change. */
    private void checkEntry(Peer peer, LogView view, LogEntry entry) {
        var content = new Content(view.termAt(entry.index - 1), entry.type, Arrays.hashCode(entry.body));
        var earlier = contentByEntry.putIfAbsent(new Key(entry.index, entry.term), content);
        require(
                earlier == null || earlier.equals(content),
                Invariant.LOGS_MATCH,
                "entry " + entry.index + " of term " + entry.term + " differs at " + peer.id());
        if (earlier != null || entry.type != LogEntry.MEMBERSHIP) return;
        var firstOwn = firstCommittedInTerm.get(entry.term);
        require(
                firstOwn != null && firstOwn < entry.index,
                Invariant.ONE_CHANGE_AT_A_TIME,
                "change " + entry.index + " of term " + entry.term + " precedes a committed entry of its term");
    }

    /** Checks that the leader at the end has applied everything that was ever committed. */
    void checkFinalLeader(Peer leader) {
        require(
                leader.group().appliedIndex() >= committedIndex(),
                Invariant.ACKNOWLEDGED_STAYS,
                "leader " + leader.id() + " has " + leader.group().appliedIndex() + " of " + committedIndex());
    }

    /** A hash over the recorded facts that decide later checks, to tell states apart. */
    int digest() {
        return Objects.hash(leaderByTerm, candidateByVote, committedEntries);
    }
}
