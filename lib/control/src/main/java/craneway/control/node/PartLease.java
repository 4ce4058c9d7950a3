package craneway.control.node;

import craneway.state.message.Node;
import java.util.List;

/** What a process knows of its lease at one part. Times are microseconds. */
final class PartLease {
    long validUntil = Long.MIN_VALUE / 2;
    long nextRenewalAt;
    int storeTurn;
    int unansweredRenewals;
    /** Whether the last renewal went to all stores, since the leader was unknown. */
    boolean sentToAllStores;

    long offeredUntil = Long.MIN_VALUE / 2;
    long offeredGrace;
    boolean held;
    long grace;
    long heldSince;
    long membersVersion = -1;
    List<Node> members = List.of();

    /** Forgets what another core had told. */
    void reset() {
        held = false;
        membersVersion = -1;
        nextRenewalAt = 0;
    }

    /** Takes up what the leader offered. */
    void acceptOffer() {
        grace = offeredGrace;
        validUntil = offeredUntil;
    }
}
