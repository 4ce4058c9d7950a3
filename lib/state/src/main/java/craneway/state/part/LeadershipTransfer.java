package craneway.state.part;

/** A planned hand-over of leadership: proposals stop until the heir is level and told to stand, or until it is given up. */
final class LeadershipTransfer {
    private final Replica replica;
    private final Replication replication;
    private long startedAt;
    private long successorId;

    LeadershipTransfer(Replica replica, Replication replication) {
        this.replica = replica;
        this.replication = replication;
    }

    boolean isInProgress() {
        return startedAt != 0;
    }

    void start(long to, long now) {
        startedAt = now;
        successorId = to;
    }

    void clear() {
        startedAt = 0;
        successorId = 0;
    }

    /** Gives up an heir that never gets level; whether one that was told to stand has taken its time over it. */
    boolean checkTimeout(long now) {
        if (!isInProgress() || now <= startedAt + replica.timing.electionTimeout()) return false;
        var told = successorId == 0;
        if (!told) clear();
        return told;
    }

    /** Tells the heir to stand once it holds all, and all is committed. */
    void notifyCaughtUpSuccessor() {
        var last = replica.log.last();
        if (successorId == 0 || replica.commitIndex < last || replication.matchIndexOf(successorId) < last) return;
        replica.sendAfterSync(replica.newMessage(PartMessage.TIMEOUT_NOW, successorId));
        successorId = 0;
    }
}
