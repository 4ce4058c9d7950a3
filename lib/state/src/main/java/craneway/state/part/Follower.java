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
        snapshotReceiver.expire(replica.applied, now);
    }

    void onAppend(PartMessage m, long now) {
        var log = replica.log;
        var r = answer(PartMessage.APPEND_REPLY, m);
        if (m.term < log.currentTerm()) {
            replica.send(r);
            return;
        }
        election.follow(m.from, now);
        var known = m.index <= replica.applied || log.termAt(m.index) == m.logTerm && m.index <= log.lastIndex();
        r.granted = known;
        r.index = known ? Math.max(m.index, store(m)) : Math.min(log.lastIndex(), m.index - 1);
        replica.send(r);
        if (known) replica.commitTo(Math.min(m.commitIndex, r.index));
    }

    private PartMessage answer(int kind, PartMessage m) {
        var r = replica.message(kind, m.from);
        r.sentAt = m.sentAt;
        r.supportsSnapshotPieces = true;
        return r;
    }

    private long store(PartMessage m) {
        var log = replica.log;
        var last = m.index;
        for (var e : m.entries) {
            last = e.index;
            if (e.index <= replica.applied || log.termAt(e.index) == e.term) continue;
            if (e.index <= log.lastIndex()) replica.cutFrom(e.index);
            replica.append(e);
        }
        return last;
    }

    void snapshotSent(PartMessage m, long now) {
        if (m.term < replica.log.currentTerm()) return;
        if (m.wholeSnapshot == null || m.wholeSnapshot.body == null) {
            refuse(m, "no snapshot in the message");
            return;
        }
        election.follow(m.from, now);
        install(m.wholeSnapshot);
        installed(m, m.wholeSnapshot.index);
    }

    private void install(Snapshot snapshot) {
        if (snapshot.index <= replica.applied) return;
        replica.install(snapshot);
        replica.out.logEvent(Event.SNAPSHOT_LOADED, "part " + replica.part + " index " + snapshot.index);
    }

    /** Says that everything up to the snapshot is held, as for entries. */
    private void installed(PartMessage m, long index) {
        var r = answer(PartMessage.APPEND_REPLY, m);
        r.granted = true;
        r.index = index;
        replica.send(r);
    }

    void snapshotPieceSent(PartMessage m, long now) {
        if (m.snapshotPiece == null) {
            refuse(m, "no piece in the message");
            return;
        }
        if (m.term < replica.log.currentTerm()) {
            refusePiece(m, 0, "term " + m.term + " is past");
            return;
        }
        election.follow(m.from, now);
        if (m.snapshotPiece.index <= replica.applied) {
            installed(m, m.snapshotPiece.index);
            return;
        }
        var outcome = snapshotReceiver.take(m.term, m.snapshotPiece, now);
        if (outcome.snapshot() != null) {
            install(outcome.snapshot());
            installed(m, m.snapshotPiece.index);
        } else if (outcome.refusal() != null) {
            refusePiece(m, outcome.held(), outcome.refusal());
        } else {
            answerPiece(m, outcome.held(), true);
        }
    }

    private void refuse(PartMessage m, String why) {
        replica.out.logEvent(
                Event.SNAPSHOT_REJECTED, "part " + replica.part + " from " + Long.toHexString(m.from) + ": " + why);
    }

    private void refusePiece(PartMessage m, long held, String why) {
        refuse(m, why);
        answerPiece(m, held, false);
    }

    private void answerPiece(PartMessage m, long held, boolean yes) {
        var r = answer(PartMessage.SNAPSHOT_PIECE_REPLY, m);
        r.granted = yes;
        r.snapshotPiece = m.snapshotPiece.at(held);
        replica.send(r);
    }
}
