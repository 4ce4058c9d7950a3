package craneway.state.part;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The leader's side of replication. It sends each peer the entries it is missing, or the snapshot if the log no longer
 * holds them, and heartbeats. An entry of the current term is committed once a majority has synced it.
 */
final class Replication {
    private static final int MAX_ENTRIES_PER_APPEND = 256;
    private static final int MAX_BYTES_PER_APPEND = 256 << 10;
    /** An append with more bytes than this is followed by heartbeats only until it is answered or times out. */
    private static final int LARGE_APPEND_BYTES = 1_000;

    private final Replica replica;
    private final Map<Long, Peer> peers = new HashMap<>();
    private EncodedSnapshot encodedSnapshot;

    Replication(Replica replica) {
        this.replica = replica;
    }

    /**
     * Starts a term as leader. Every peer is treated as last heard half an election timeout ago, so that a leader that
     * reaches no majority steps down soon.
     */
    void startTerm(long now) {
        peers.clear();
        for (var peerId : otherMembers()) {
            var peer = newPeer(now);
            peer.lastAcknowledgedSendAt = now - replica.timing.electionTimeout() / 2;
            peers.put(peerId, peer);
        }
    }

    private Peer newPeer(long now) {
        var lastIndex = replica.log.lastIndex();
        return new Peer(lastIndex + 1, new CatchUpTracker(replica.timing.electionTimeout(), lastIndex, now), now);
    }

    /** Ends the term as leader and drops running snapshot transfers. */
    void endTerm() {
        peers.values().forEach(peer -> peer.snapshotSender = null);
        encodedSnapshot = null;
    }

    List<Long> otherMembers() {
        var members = replica.members();
        var others = new ArrayList<Long>();
        for (var voterId : members.voters) if (voterId != replica.selfId) others.add(voterId);
        if (members.learnerId != 0 && members.learnerId != replica.selfId) others.add(members.learnerId);
        return others;
    }

    long matchIndexOf(long peerId) {
        var peer = peers.get(peerId);
        return peer == null ? 0 : peer.matchIndex;
    }

    long lastHeardAt(long peerId) {
        var peer = peers.get(peerId);
        return peer == null ? 0 : peer.lastHeardAt;
    }

    boolean isCaughtUp(long peerId, long now) {
        var peer = peers.get(peerId);
        return peer != null && peer.catchUpTracker.isCaughtUp(now);
    }

    /** Returns the send time of the latest messages that a majority, including this store, has answered. */
    long lastMajorityContact() {
        var members = replica.members();
        var contacts = new long[members.voters.length];
        for (var i = 0; i < contacts.length; i++) {
            var peer = peers.get(members.voters[i]);
            var contact = peer == null ? Long.MIN_VALUE / 2 : Math.max(peer.lastAcknowledgedSendAt, Long.MIN_VALUE / 2);
            contacts[i] = members.voters[i] == replica.selfId ? Long.MAX_VALUE : contact;
        }
        Arrays.sort(contacts);
        var majorityContact = contacts[contacts.length - members.majority()];
        return majorityContact == Long.MAX_VALUE ? Long.MAX_VALUE / 2 : majorityContact;
    }

    /** Sends to every peer whose heartbeat is due. */
    void sendHeartbeats(long now) {
        for (var peerId : otherMembers()) {
            var peer = peers.computeIfAbsent(peerId, key -> newPeer(now));
            if (peer.lastSentAt == Long.MIN_VALUE || replica.timing.isHeartbeatDue(peer.lastSentAt, now))
                replicateTo(peerId, now);
        }
    }

    /** Sends to every peer that is missing entries and may receive them now. */
    void replicateToLagging(long now) {
        for (var peerId : otherMembers()) {
            var peer = peers.get(peerId);
            if (peer != null && peer.canSendEntries(replica.log.lastIndex(), now)) replicateTo(peerId, now);
        }
    }

    /** Sends to every other member. */
    void replicateToAll(long now) {
        otherMembers().forEach(peerId -> replicateTo(peerId, now));
    }

    private void replicateTo(long peerId, long now) {
        var peer = peers.get(peerId);
        peer.lastSentAt = now;
        var needsSnapshot = peer.nextIndex < replica.log.firstIndex();
        if (peer.snapshotSender != null || peer.awaitsLargeMessageReply(now) || needsSnapshot && !peer.hasReplied) {
            replica.sendAfterSync(
                    newAppendRequest(peerId, Math.max(peer.matchIndex, replica.log.firstIndex() - 1), now));
            if (peer.snapshotSender != null) sendPieces(peerId, peer, now);
        } else if (needsSnapshot) {
            sendSnapshot(peerId, peer, now);
        } else {
            sendEntries(peerId, peer, now);
        }
    }

    private void sendEntries(long peerId, Peer peer, long now) {
        var request = newAppendRequest(peerId, peer.nextIndex - 1, now);
        var entryBytes = 0;
        for (var index = peer.nextIndex;
                index <= replica.log.lastIndex() && request.entries.size() < MAX_ENTRIES_PER_APPEND;
                index++) {
            var bodyBytes = replica.log.entryAt(index).body.length;
            if (entryBytes > 0 && entryBytes + bodyBytes > MAX_BYTES_PER_APPEND) break;
            request.entries.add(replica.log.entryAt(index));
            entryBytes += bodyBytes;
        }
        peer.nextIndex += request.entries.size();
        replica.sendAfterSync(request);
        if (entryBytes > LARGE_APPEND_BYTES) peer.onLargeMessageSent(peer.nextIndex - 1, entryBytes, now);
    }

    /**
     * Sends the snapshot in pieces to a peer that supports them, and whole if it fits in one piece or the peer runs an
     * earlier version.
     */
    private void sendSnapshot(long peerId, Peer peer, long now) {
        var snapshot = replica.log.snapshot();
        if (encodedSnapshot == null || !encodedSnapshot.isEncodingOf(snapshot))
            encodedSnapshot = new EncodedSnapshot(snapshot);
        if (peer.supportsSnapshotPieces && !encodedSnapshot.fitsInOnePiece()) {
            peer.snapshotSender = new SnapshotSender(encodedSnapshot, now);
            sendPieces(peerId, peer, now);
            return;
        }
        var message = replica.newMessage(PartMessage.SNAPSHOT, peerId);
        message.wholeSnapshot = snapshot;
        message.sentAt = now;
        replica.sendAfterSync(message);
        peer.onLargeMessageSent(snapshot.index, snapshot.body.length, now);
    }

    private void sendPieces(long peerId, Peer peer, long now) {
        for (var piece : peer.snapshotSender.nextPieces(now)) {
            var message = replica.newMessage(PartMessage.SNAPSHOT_PIECE, peerId);
            message.snapshotPiece = piece;
            message.sentAt = now;
            replica.sendAfterSync(message);
        }
    }

    private void endSnapshotTransfer(Peer peer) {
        peer.snapshotSender = null;
        if (peers.values().stream().allMatch(other -> other.snapshotSender == null)) encodedSnapshot = null;
    }

    private PartMessage newAppendRequest(long peerId, long previousIndex, long now) {
        var request = replica.newMessage(PartMessage.APPEND, peerId);
        request.index = previousIndex;
        request.logTerm = replica.log.termAt(previousIndex);
        request.commitIndex = replica.commitIndex;
        request.sentAt = now;
        return request;
    }

    private Peer recordReply(PartMessage reply, long now) {
        if (replica.role != Role.LEADER || reply.term != replica.log.currentTerm()) return null;
        var peer = peers.get(reply.from);
        if (peer == null) return null;
        var wasAway = now - peer.lastHeardAt > replica.timing.electionTimeout();
        peer.onReply(reply, now);
        if (wasAway && peer.snapshotSender != null) peer.snapshotSender.onPeerReturned(now);
        if (!peer.supportsSnapshotPieces && peer.snapshotSender != null) endSnapshotTransfer(peer);
        return peer;
    }

    void onAppendReply(PartMessage reply, long now) {
        var peer = recordReply(reply, now);
        if (peer == null) return;
        if (reply.granted) peer.onMatch(reply.index, replica.log.lastIndex(), now);
        else peer.onAppendRefused(reply, now);
        if (peer.snapshotSender != null && peer.matchIndex >= peer.snapshotSender.index()) endSnapshotTransfer(peer);
        advanceCommitIndex();
        if (replica.role == Role.LEADER && peer.canSendEntries(replica.log.lastIndex(), now))
            replicateTo(reply.from, now);
    }

    void onSnapshotPieceReply(PartMessage reply, long now) {
        var peer = recordReply(reply, now);
        if (peer == null || peer.snapshotSender == null || reply.snapshotPiece == null) return;
        if (reply.granted) peer.snapshotSender.onPieceAccepted(reply.snapshotPiece, now);
        else peer.snapshotSender.onPieceRefused(reply.snapshotPiece, reply.sentAt, now);
        sendPieces(reply.from, peer, now);
    }

    /**
     * Commits the entries that a majority has synced. This store's own entries do not count while they are unsynced.
     */
    void advanceCommitIndex() {
        var members = replica.members();
        var log = replica.log;
        var matchIndexes = new long[members.voters.length];
        for (var i = 0; i < matchIndexes.length; i++) {
            var ownSyncedIndex = log.isDirty() ? 0 : log.lastIndex();
            matchIndexes[i] = members.voters[i] == replica.selfId ? ownSyncedIndex : matchIndexOf(members.voters[i]);
        }
        Arrays.sort(matchIndexes);
        var majorityIndex = matchIndexes[matchIndexes.length - members.majority()];
        if (majorityIndex > replica.commitIndex && log.termAt(majorityIndex) == log.currentTerm())
            replica.commitTo(majorityIndex);
    }
}
