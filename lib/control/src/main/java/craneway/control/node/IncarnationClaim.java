package craneway.control.node;

import craneway.model.unit.Parts;
import craneway.state.message.Messages.RenewalReply;
import craneway.state.message.Node;

/**
 * Resolves which process may use a name if several have used it. A process whose incarnation is refused raises it
 * above the known one as long as the part has not granted the current one yet, or if the known process had this
 * process's address and so must have ended. Otherwise a later process elsewhere has taken its place.
 */
final class IncarnationClaim {
    private final NodeDirectory directory;
    private final long[] grantedIncarnations = new long[Parts.PART_COUNT];
    private boolean superseded;

    IncarnationClaim(NodeDirectory directory) {
        this.directory = directory;
    }

    /** Whether another process has taken over the name; this one must stop. */
    boolean isSuperseded() {
        return superseded;
    }

    /** Records that a part accepted this process under its current incarnation. */
    void recordGrant(int part) {
        grantedIncarnations[part] = directory.self().incarnation;
    }

    /**
     * Handles the refusal of a part. Returns whether the incarnation was raised, so that all leases have to be
     * renewed again.
     */
    boolean handleRefusal(RenewalReply refusal) {
        var self = directory.self();
        if (refusal.incarnation < self.incarnation || namesThisSession(refusal, self)) return false;
        var isSameAddress =
                refusal.recordedMember != null && refusal.recordedMember.peerAddress.equals(self.peerAddress);
        if (!isSameAddress && grantedIncarnations[refusal.part] == self.incarnation) {
            superseded = true;
            return false;
        }
        directory.raiseIncarnation(refusal.incarnation);
        return true;
    }

    /**
     * Whether the incarnation that the refusal names is that of this process: then it answers a late message of an
     * earlier process.
     */
    private static boolean namesThisSession(RenewalReply refusal, Node self) {
        return refusal.incarnation == self.incarnation
                && (refusal.recordedMember == null || !refusal.recordedMember.isOtherSession(self));
    }
}
