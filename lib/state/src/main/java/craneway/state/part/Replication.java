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
    private static final int BATCH = 256;
    private static final int BATCH_BYTES = 256 << 10;
    private static final int LARGE = 1_000;

    private final Replica replica;
    private final Map<Long, Peer> peers = new HashMap<>();
    private EncodedSnapshot encoded;

    Replication(Replica replica) {
        this.replica = replica;
    }

    /** Begins a term as its leader, as if half of the patience had passed since a majority was heard. */
    void begin(long now) {
        peers.clear();
        for (var id : others()) {
            var p = newPeer(now);
            p.acknowledgedStamp = now - replica.timing.electionTimeout() / 2;
            peers.put(id, p);
        }
    }

    private Peer newPeer(long now) {
        var last = replica.log.lastIndex();
        return new Peer(last + 1, new CatchUp(replica.timing.electionTimeout(), last, now), now);
    }

    /** The term as leader is over. */
    void end() {
        peers.values().forEach(p -> p.snapshot = null);
        encoded = null;
    }

    List<Long> others() {
        var m = replica.members();
        var all = new ArrayList<Long>();
        for (var v : m.voters) if (v != replica.self) all.add(v);
        if (m.learnerId != 0 && m.learnerId != replica.self) all.add(m.learnerId);
        return all;
    }

    long matchOf(long id) {
        var p = peers.get(id);
        return p == null ? 0 : p.match;
    }

    long heardFrom(long id) {
        var p = peers.get(id);
        return p == null ? 0 : p.heardAt;
    }

    boolean caughtUp(long id, long now) {
        var p = peers.get(id);
        return p != null && p.catchUp.done(now);
    }

    /** When the latest messages were sent that a majority, this store included, has answered. */
    long majorityContact() {
        var m = replica.members();
        var stamps = new long[m.voters.length];
        for (var i = 0; i < stamps.length; i++) {
            var p = peers.get(m.voters[i]);
            var stamp = p == null ? Long.MIN_VALUE / 2 : Math.max(p.acknowledgedStamp, Long.MIN_VALUE / 2);
            stamps[i] = m.voters[i] == replica.self ? Long.MAX_VALUE : stamp;
        }
        Arrays.sort(stamps);
        var contact = stamps[stamps.length - m.majority()];
        return contact == Long.MAX_VALUE ? Long.MAX_VALUE / 2 : contact;
    }

    /** Sends to each peer whose beat is due. */
    void beat(long now) {
        for (var id : others()) {
            var p = peers.computeIfAbsent(id, k -> newPeer(now));
            if (p.sentAt == Long.MIN_VALUE || replica.timing.isHeartbeatDue(p.sentAt, now)) replicate(id, now);
        }
    }

    /** Sends to each peer that lacks entries. */
    void feedBehind(long now) {
        for (var id : others()) {
            var p = peers.get(id);
            if (p != null && p.behind(replica.log.lastIndex(), now)) replicate(id, now);
        }
    }

    /** Sends to all. */
    void feedAll(long now) {
        others().forEach(id -> replicate(id, now));
    }

    private void replicate(long id, long now) {
        var p = peers.get(id);
        p.sentAt = now;
        var needsSnapshot = p.next < replica.log.firstIndex();
        if (p.snapshot != null || p.awaitsLarge(now) || needsSnapshot && !p.replied) {
            replica.send(append(id, Math.max(p.match, replica.log.firstIndex() - 1), now));
            if (p.snapshot != null) sendPieces(id, p, now);
        } else if (needsSnapshot) {
            sendSnapshot(id, p, now);
        } else {
            sendEntries(id, p, now);
        }
    }

    private void sendEntries(long id, Peer p, long now) {
        var m = append(id, p.next - 1, now);
        var bytes = 0;
        for (var i = p.next; i <= replica.log.lastIndex() && m.entries.size() < BATCH; i++) {
            var length = replica.log.entryAt(i).body.length;
            if (bytes > 0 && bytes + length > BATCH_BYTES) break;
            m.entries.add(replica.log.entryAt(i));
            bytes += length;
        }
        p.next += m.entries.size();
        replica.send(m);
        if (bytes > LARGE) p.sendsLarge(p.next - 1, bytes, now);
    }

    /** In pieces to a peer that reads them; whole where it is small or the peer is of an earlier version. */
    private void sendSnapshot(long id, Peer p, long now) {
        var snapshot = replica.log.snapshot();
        if (encoded == null || !encoded.of(snapshot)) encoded = new EncodedSnapshot(snapshot);
        if (p.readsPieces && !encoded.small()) {
            p.snapshot = new SnapshotSender(encoded, now);
            sendPieces(id, p, now);
            return;
        }
        var m = replica.message(PartMessage.SNAPSHOT, id);
        m.wholeSnapshot = snapshot;
        m.sentAt = now;
        replica.send(m);
        p.sendsLarge(snapshot.index, snapshot.body.length, now);
    }

    private void sendPieces(long id, Peer p, long now) {
        for (var piece : p.snapshot.due(now)) {
            var m = replica.message(PartMessage.SNAPSHOT_PIECE, id);
            m.snapshotPiece = piece;
            m.sentAt = now;
            replica.send(m);
        }
    }

    private void endTransfer(Peer p) {
        p.snapshot = null;
        if (peers.values().stream().allMatch(other -> other.snapshot == null)) encoded = null;
    }

    private PartMessage append(long id, long after, long now) {
        var m = replica.message(PartMessage.APPEND, id);
        m.index = after;
        m.logTerm = replica.log.termAt(after);
        m.commitIndex = replica.commit;
        m.sentAt = now;
        return m;
    }

    private Peer answering(PartMessage m, long now) {
        if (replica.role != Role.LEADER || m.term != replica.log.currentTerm()) return null;
        var p = peers.get(m.from);
        if (p == null) return null;
        var wasAway = now - p.heardAt > replica.timing.electionTimeout();
        p.heard(m, now);
        if (wasAway && p.snapshot != null) p.snapshot.peerIsBack(now);
        if (!p.readsPieces && p.snapshot != null) endTransfer(p);
        return p;
    }

    void onAppendReply(PartMessage m, long now) {
        var p = answering(m, now);
        if (p == null) return;
        if (m.granted) p.matched(m.index, replica.log.lastIndex(), now);
        else p.refused(m, now);
        if (p.snapshot != null && p.match >= p.snapshot.index()) endTransfer(p);
        advance();
        if (replica.role == Role.LEADER && p.behind(replica.log.lastIndex(), now)) replicate(m.from, now);
    }

    void snapshotPieceReply(PartMessage m, long now) {
        var p = answering(m, now);
        if (p == null || p.snapshot == null || m.snapshotPiece == null) return;
        if (m.granted) p.snapshot.held(m.snapshotPiece, now);
        else p.snapshot.refused(m.snapshotPiece, m.sentAt, now);
        sendPieces(m.from, p, now);
    }

    /** Commits what a majority has synced, this store's own unsynced entries left out. */
    void advance() {
        var m = replica.members();
        var log = replica.log;
        var match = new long[m.voters.length];
        for (var i = 0; i < match.length; i++) {
            var own = log.isDirty() ? 0 : log.lastIndex();
            match[i] = m.voters[i] == replica.self ? own : matchOf(m.voters[i]);
        }
        Arrays.sort(match);
        var held = match[match.length - m.majority()];
        if (held > replica.commit && log.termAt(held) == log.currentTerm()) replica.commitTo(held);
    }
}
