package craneway.state.part;

import craneway.model.event.Event;

/** A follower's side of replication: it takes the leader's entries, snapshots and pieces of them, and says what it holds. */
final class Follower {
    private final Replica replica;
    private final Election election;
    private final SnapshotReceiver snapshotReceiver = new SnapshotReceiver();

    Follower(Replica replica, Election election) {
        this.replica = replica;
        this.election = election;
    }

    /** Forgets what is held of a snapshot that no leader goes on with. */
    void tick(long now) {
        snapshotReceiver.discardIfStale(replica.appliedIndex, now);
    }

    void onAppend(PartMessage m, long now) {
        var log = replica.log;
        var r = newReply(PartMessage.APPEND_REPLY, m);
        if (m.term < log.term()) {
            replica.sendAfterSync(r);
            return;
        }
        election.followLeader(m.from, now);
        var known = m.index <= replica.appliedIndex || log.termAt(m.index) == m.logTerm && m.index <= log.last();
        r.granted = known;
        r.index = known ? Math.max(m.index, storeEntries(m)) : Math.min(log.last(), m.index - 1);
        replica.sendAfterSync(r);
        if (known) replica.commitTo(Math.min(m.commit, r.index));
    }

    private PartMessage newReply(int kind, PartMessage m) {
        var r = replica.newMessage(kind, m.from);
        r.stamp = m.stamp;
        r.readsPieces = true;
        return r;
    }

    private long storeEntries(PartMessage m) {
        var log = replica.log;
        var last = m.index;
        for (var e : m.entries) {
            last = e.index;
            if (e.index <= replica.appliedIndex || log.termAt(e.index) == e.term) continue;
            if (e.index <= log.last()) replica.truncateFrom(e.index);
            replica.append(e);
        }
        return last;
    }

    void onSnapshot(PartMessage m, long now) {
        if (m.term < replica.log.term()) return;
        if (m.wholeSnapshot == null || m.wholeSnapshot.body == null) {
            logRefusal(m, "no snapshot in the message");
            return;
        }
        election.followLeader(m.from, now);
        installSnapshot(m.wholeSnapshot);
        acknowledgeSnapshot(m, m.wholeSnapshot.index);
    }

    private void installSnapshot(Snapshot snapshot) {
        if (snapshot.index <= replica.appliedIndex) return;
        replica.installSnapshot(snapshot);
        replica.listener.note(Event.SNAPSHOT_LOADED, "part " + replica.part + " index " + snapshot.index);
    }

    /** Says that everything up to the snapshot is held, as for entries. */
    private void acknowledgeSnapshot(PartMessage m, long index) {
        var r = newReply(PartMessage.APPEND_REPLY, m);
        r.granted = true;
        r.index = index;
        replica.sendAfterSync(r);
    }

    void onSnapshotPiece(PartMessage m, long now) {
        if (m.snapshot == null) {
            logRefusal(m, "no piece in the message");
            return;
        }
        if (m.term < replica.log.term()) {
            refusePiece(m, 0, "term " + m.term + " is past");
            return;
        }
        election.followLeader(m.from, now);
        if (m.snapshot.index <= replica.appliedIndex) {
            acknowledgeSnapshot(m, m.snapshot.index);
            return;
        }
        var outcome = snapshotReceiver.accept(m.term, m.snapshot, now);
        if (outcome.snapshot() != null) {
            installSnapshot(outcome.snapshot());
            acknowledgeSnapshot(m, m.snapshot.index);
        } else if (outcome.refusal() != null) {
            refusePiece(m, outcome.receivedBytes(), outcome.refusal());
        } else {
            replyToPiece(m, outcome.receivedBytes(), true);
        }
    }

    private void logRefusal(PartMessage m, String why) {
        replica.listener.note(
                Event.SNAPSHOT_REFUSED, "part " + replica.part + " from " + Long.toHexString(m.from) + ": " + why);
    }

    private void refusePiece(PartMessage m, long held, String why) {
        logRefusal(m, why);
        replyToPiece(m, held, false);
    }

    private void replyToPiece(PartMessage m, long held, boolean yes) {
        var r = newReply(PartMessage.SNAPSHOT_PIECE_REPLY, m);
        r.granted = yes;
        r.snapshot = m.snapshot.withOffset(held);
        replica.sendAfterSync(r);
    }
}
