package craneway.state.part;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A leader's side of replication: it sends each peer the entries it lacks, or the snapshot where the log no longer has them, and
 * beats; it counts an entry of its own term as committed once a majority has synced it.
 */
final class Replication {
    private static final int MAX_ENTRIES_PER_APPEND = 256;
    private static final int MAX_BYTES_PER_APPEND = 256 << 10;
    private static final int LARGE_APPEND_BYTES = 1_000;

    private final Replica replica;
    private final Map<Long, Peer> peers = new HashMap<>();
    private EncodedSnapshot encodedSnapshot;

    Replication(Replica replica) {
        this.replica = replica;
    }

    /** Begins a term as its leader, as if half of the patience had passed since a majority was heard. */
    void startTerm(long now) {
        peers.clear();
        for (var id : otherMembers()) {
            var p = newPeer(now);
            p.lastAcknowledgedSendAt = now - replica.timing.electionTimeout() / 2;
            peers.put(id, p);
        }
    }

    private Peer newPeer(long now) {
        var last = replica.log.last();
        return new Peer(last + 1, new CatchUpTracker(replica.timing.electionTimeout(), last, now), now);
    }

    /** The term as leader is over. */
    void endTerm() {
        peers.values().forEach(p -> p.snapshotSender = null);
        encodedSnapshot = null;
    }

    List<Long> otherMembers() {
        var m = replica.members();
        var all = new ArrayList<Long>();
        for (var v : m.voters) if (v != replica.selfId) all.add(v);
        if (m.learner != 0 && m.learner != replica.selfId) all.add(m.learner);
        return all;
    }

    long matchIndexOf(long id) {
        var p = peers.get(id);
        return p == null ? 0 : p.matchIndex;
    }

    long lastHeardAt(long id) {
        var p = peers.get(id);
        return p == null ? 0 : p.lastHeardAt;
    }

    boolean isCaughtUp(long id, long now) {
        var p = peers.get(id);
        return p != null && p.catchUpTracker.isCaughtUp(now);
    }

    /** When the latest messages were sent that a majority, this store included, has answered. */
    long lastMajorityContact() {
        var m = replica.members();
        var stamps = new long[m.voters.length];
        for (var i = 0; i < stamps.length; i++) {
            var p = peers.get(m.voters[i]);
            var stamp = p == null ? Long.MIN_VALUE / 2 : Math.max(p.lastAcknowledgedSendAt, Long.MIN_VALUE / 2);
            stamps[i] = m.voters[i] == replica.selfId ? Long.MAX_VALUE : stamp;
        }
        Arrays.sort(stamps);
        var contact = stamps[stamps.length - m.majority()];
        return contact == Long.MAX_VALUE ? Long.MAX_VALUE / 2 : contact;
    }

    /** Sends to each peer whose beat is due. */
    void sendHeartbeats(long now) {
        for (var id : otherMembers()) {
            var p = peers.computeIfAbsent(id, k -> newPeer(now));
            if (p.lastSentAt == Long.MIN_VALUE || replica.timing.due(p.lastSentAt, now)) replicateTo(id, now);
        }
    }

    /** Sends to each peer that lacks entries. */
    void replicateToLagging(long now) {
        for (var id : otherMembers()) {
            var p = peers.get(id);
            if (p != null && p.canSendEntries(replica.log.last(), now)) replicateTo(id, now);
        }
    }

    /** Sends to all. */
    void replicateToAll(long now) {
        otherMembers().forEach(id -> replicateTo(id, now));
    }

    private void replicateTo(long id, long now) {
        var p = peers.get(id);
        p.lastSentAt = now;
        var needsSnapshot = p.nextIndex < replica.log.first();
        if (p.snapshotSender != null || p.awaitsLargeMessageReply(now) || needsSnapshot && !p.hasReplied) {
            replica.sendAfterSync(newAppendRequest(id, Math.max(p.matchIndex, replica.log.first() - 1), now));
            if (p.snapshotSender != null) sendPieces(id, p, now);
        } else if (needsSnapshot) {
            sendSnapshot(id, p, now);
        } else {
            sendEntries(id, p, now);
        }
    }

    private void sendEntries(long id, Peer p, long now) {
        var m = newAppendRequest(id, p.nextIndex - 1, now);
        var bytes = 0;
        for (var i = p.nextIndex; i <= replica.log.last() && m.entries.size() < MAX_ENTRIES_PER_APPEND; i++) {
            var length = replica.log.at(i).body.length;
            if (bytes > 0 && bytes + length > MAX_BYTES_PER_APPEND) break;
            m.entries.add(replica.log.at(i));
            bytes += length;
        }
        p.nextIndex += m.entries.size();
        replica.sendAfterSync(m);
        if (bytes > LARGE_APPEND_BYTES) p.onLargeMessageSent(p.nextIndex - 1, bytes, now);
    }

    /** In pieces to a peer that reads them; whole where it is small or the peer is of an earlier version. */
    private void sendSnapshot(long id, Peer p, long now) {
        var snapshot = replica.log.snapshot();
        if (encodedSnapshot == null || !encodedSnapshot.isEncodingOf(snapshot)) encodedSnapshot = new EncodedSnapshot(snapshot);
        if (p.supportsSnapshotPieces && !encodedSnapshot.fitsInOnePiece()) {
            p.snapshotSender = new SnapshotSender(encodedSnapshot, now);
            sendPieces(id, p, now);
            return;
        }
        var m = replica.newMessage(PartMessage.SNAPSHOT, id);
        m.wholeSnapshot = snapshot;
        m.stamp = now;
        replica.sendAfterSync(m);
        p.onLargeMessageSent(snapshot.index, snapshot.body.length, now);
    }

    private void sendPieces(long id, Peer p, long now) {
        for (var piece : p.snapshotSender.nextPieces(now)) {
            var m = replica.newMessage(PartMessage.SNAPSHOT_PIECE, id);
            m.snapshot = piece;
            m.stamp = now;
            replica.sendAfterSync(m);
        }
    }

    private void endSnapshotTransfer(Peer p) {
        p.snapshotSender = null;
        if (peers.values().stream().allMatch(other -> other.snapshotSender == null)) encodedSnapshot = null;
    }

    private PartMessage newAppendRequest(long id, long after, long now) {
        var m = replica.newMessage(PartMessage.APPEND, id);
        m.index = after;
        m.logTerm = replica.log.termAt(after);
        m.commit = replica.commitIndex;
        m.stamp = now;
        return m;
    }

    private Peer recordReply(PartMessage m, long now) {
        if (replica.role != Role.LEADER || m.term != replica.log.term()) return null;
        var p = peers.get(m.from);
        if (p == null) return null;
        var wasAway = now - p.lastHeardAt > replica.timing.electionTimeout();
        p.onReply(m, now);
        if (wasAway && p.snapshotSender != null) p.snapshotSender.onPeerReturned(now);
        if (!p.supportsSnapshotPieces && p.snapshotSender != null) endSnapshotTransfer(p);
        return p;
    }

    void onAppendReply(PartMessage m, long now) {
        var p = recordReply(m, now);
        if (p == null) return;
        if (m.granted) p.onMatch(m.index, replica.log.last(), now);
        else p.onAppendRefused(m, now);
        if (p.snapshotSender != null && p.matchIndex >= p.snapshotSender.index()) endSnapshotTransfer(p);
        advanceCommitIndex();
        if (replica.role == Role.LEADER && p.canSendEntries(replica.log.last(), now)) replicateTo(m.from, now);
    }

    void onSnapshotPieceReply(PartMessage m, long now) {
        var p = recordReply(m, now);
        if (p == null || p.snapshotSender == null || m.snapshot == null) return;
        if (m.granted) p.snapshotSender.onPieceAccepted(m.snapshot, now);
        else p.snapshotSender.onPieceRefused(m.snapshot, m.stamp, now);
        sendPieces(m.from, p, now);
    }

    /** Commits what a majority has synced, this store's own unsynced entries left out. */
    void advanceCommitIndex() {
        var m = replica.members();
        var log = replica.log;
        var match = new long[m.voters.length];
        for (var i = 0; i < match.length; i++) {
            var own = log.dirty() ? 0 : log.last();
            match[i] = m.voters[i] == replica.selfId ? own : matchIndexOf(m.voters[i]);
        }
        Arrays.sort(match);
        var held = match[match.length - m.majority()];
        if (held > replica.commitIndex && log.termAt(held) == log.term()) replica.commitTo(held);
    }
}
