package craneway.state.part;

import craneway.model.event.Event;

/**
 * The follower's side of replication. It stores the leader's entries, snapshots and snapshot pieces, and replies with
 * what it holds.
 */
final class Follower {
    private final Replica replica;
    private final Election election;
    private final SnapshotReceiver snapshotReceiver = new SnapshotReceiver();

    Follower(Replica replica, Election election) {
        this.replica = replica;
        this.election = election;
    }

    /** Drops a partial snapshot that no leader continues. */
    void tick(long now) {
        snapshotReceiver.discardIfStale(replica.appliedIndex, now);
    }

    void onAppend(PartMessage request, long now) {
        var log = replica.log;
        var reply = newReply(PartMessage.APPEND_REPLY, request);
        if (request.term < log.currentTerm()) {
            replica.sendAfterSync(reply);
            return;
        }
        election.followLeader(request.from, now);
        var matches = request.index <= replica.appliedIndex
                || log.termAt(request.index) == request.logTerm && request.index <= log.lastIndex();
        reply.granted = matches;
        reply.index =
                matches ? Math.max(request.index, storeEntries(request)) : Math.min(log.lastIndex(), request.index - 1);
        replica.sendAfterSync(reply);
        if (matches) replica.commitTo(Math.min(request.commitIndex, reply.index));
    }

    private PartMessage newReply(int kind, PartMessage request) {
        var reply = replica.newMessage(kind, request.from);
        reply.sentAt = request.sentAt;
        reply.supportsSnapshotPieces = true;
        return reply;
    }

    private long storeEntries(PartMessage request) {
        var log = replica.log;
        var lastIndex = request.index;
        for (var entry : request.entries) {
            lastIndex = entry.index;
            if (entry.index <= replica.appliedIndex || log.termAt(entry.index) == entry.term) continue;
            if (entry.index <= log.lastIndex()) replica.truncateFrom(entry.index);
            replica.append(entry);
        }
        return lastIndex;
    }

    void onSnapshot(PartMessage request, long now) {
        if (request.term < replica.log.currentTerm()) return;
        if (request.wholeSnapshot == null || request.wholeSnapshot.body == null) {
            logRefusal(request, "the message contains no snapshot");
            return;
        }
        election.followLeader(request.from, now);
        installSnapshot(request.wholeSnapshot);
        acknowledgeSnapshot(request, request.wholeSnapshot.index);
    }

    private void installSnapshot(Snapshot snapshot) {
        if (snapshot.index <= replica.appliedIndex) return;
        replica.installSnapshot(snapshot);
        replica.listener.logEvent(Event.SNAPSHOT_LOADED, "part " + replica.part + " index " + snapshot.index);
    }

    /** Replies that everything up to the snapshot's last entry is held, in the form of a reply to appended entries. */
    private void acknowledgeSnapshot(PartMessage request, long snapshotIndex) {
        var reply = newReply(PartMessage.APPEND_REPLY, request);
        reply.granted = true;
        reply.index = snapshotIndex;
        replica.sendAfterSync(reply);
    }

    void onSnapshotPiece(PartMessage request, long now) {
        if (request.snapshotPiece == null) {
            logRefusal(request, "the message contains no snapshot piece");
            return;
        }
        if (request.term < replica.log.currentTerm()) {
            refusePiece(request, 0, "term " + request.term + " is out of date");
            return;
        }
        election.followLeader(request.from, now);
        if (request.snapshotPiece.index <= replica.appliedIndex) {
            acknowledgeSnapshot(request, request.snapshotPiece.index);
            return;
        }
        var outcome = snapshotReceiver.accept(request.term, request.snapshotPiece, now);
        if (outcome.snapshot() != null) {
            installSnapshot(outcome.snapshot());
            acknowledgeSnapshot(request, request.snapshotPiece.index);
        } else if (outcome.refusal() != null) {
            refusePiece(request, outcome.receivedBytes(), outcome.refusal());
        } else {
            replyToPiece(request, outcome.receivedBytes(), true);
        }
    }

    private void logRefusal(PartMessage request, String reason) {
        replica.listener.logEvent(
                Event.SNAPSHOT_REJECTED,
                "part " + replica.part + " from " + Long.toHexString(request.from) + ": " + reason);
    }

    private void refusePiece(PartMessage request, long receivedBytes, String reason) {
        logRefusal(request, reason);
        replyToPiece(request, receivedBytes, false);
    }

    private void replyToPiece(PartMessage request, long receivedBytes, boolean granted) {
        var reply = newReply(PartMessage.SNAPSHOT_PIECE_REPLY, request);
        reply.granted = granted;
        reply.snapshotPiece = request.snapshotPiece.withOffset(receivedBytes);
        replica.sendAfterSync(reply);
    }
}
