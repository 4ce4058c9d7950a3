package craneway.control.node;

import craneway.state.message.Node;
import java.util.List;

/** A process's lease at one part. Times are microseconds. */
final class PartLease {
    long validUntil = Long.MIN_VALUE / 2;
    long nextRenewalAt;
    /** Which store is tried next while the leader is unknown. */
    int storeTurn;

    int unansweredRenewals;
    /** Whether the last renewal went to all stores, because the leader was unknown. */
    boolean sentToAllStores;

    /** The end of the lease that the leader granted last; accepted once the topics of the part are current enough. */
    long offeredUntil = Long.MIN_VALUE / 2;

    long offeredGrace;
    boolean held;
    long grace;
    long heldSince;
    long membersVersion = -1;
    List<Node> members = List.of();

    /** Forgets what the leader of another core granted. */
    void reset() {
        held = false;
        membersVersion = -1;
        nextRenewalAt = 0;
    }

    /** Accepts the lease that the leader granted. */
    void acceptOffer() {
        grace = offeredGrace;
        validUntil = offeredUntil;
    }
}
