package craneway.state.part;

/**
 * A planned transfer of leadership. Proposals are refused until the successor has caught up and was told to start an
 * election, or until the transfer is given up.
 */
final class LeadershipTransfer {
    private final Replica replica;
    private final Replication replication;
    private long startedAt;
    private long successorId;

    LeadershipTransfer(Replica replica, Replication replication) {
        this.replica = replica;
        this.replication = replication;
    }

    /** Returns whether a transfer is in progress. */
    boolean isInProgress() {
        return startedAt != 0;
    }

    /** Starts a transfer to a voter. */
    void start(long voterId, long now) {
        startedAt = now;
        successorId = voterId;
    }

    /** Ends the transfer, whether it succeeded or not. */
    void clear() {
        startedAt = 0;
        successorId = 0;
    }

    /**
     * Gives up a transfer whose successor did not catch up within an election timeout. Returns true if the successor
     * was told to start an election but did not take over in that time.
     */
    boolean checkTimeout(long now) {
        if (!isInProgress() || now <= startedAt + replica.timing.electionTimeout()) return false;
        var successorNotified = successorId == 0;
        if (!successorNotified) clear();
        return successorNotified;
    }

    /** Tells the successor to start an election once it holds the whole log and all of it is committed. */
    void notifyCaughtUpSuccessor() {
        var lastIndex = replica.log.lastIndex();
        if (successorId == 0 || replica.commitIndex < lastIndex || replication.matchIndexOf(successorId) < lastIndex)
            return;
        replica.sendAfterSync(replica.newMessage(PartMessage.TIMEOUT_NOW, successorId));
        successorId = 0;
    }
}
