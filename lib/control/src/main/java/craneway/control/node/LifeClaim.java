package craneway.control.node;

import craneway.model.unit.Parts;
import craneway.state.message.Messages.RenewReply;
import craneway.state.message.Node;

/**
 * Which life of a process's name stands. A process whose incarnation is refused raises it above the known one, as long as the
 * part has not granted it yet or the known life had the very address that this process holds; else a later life elsewhere
 * has taken its place.
 */
final class LifeClaim {
    private final Directory directory;
    private final long[] grantedIncarnations = new long[Parts.COUNT];
    private boolean superseded;

    LifeClaim(Directory directory) {
        this.directory = directory;
    }

    boolean isSuperseded() {
        return superseded;
    }

    /** A part has taken this process in under its present incarnation. */
    void recordGrant(int part) {
        grantedIncarnations[part] = directory.self().incarnation;
    }

    /** A part has refused; whether the incarnation was raised, so that all parts are to be asked again. */
    boolean handleRefusal(RenewReply refusal) {
        var self = directory.self();
        if (refusal.incarnation < self.incarnation || namesThisLife(refusal, self)) return false;
        var isSameAddress = refusal.known != null && refusal.known.peerAddress.equals(self.peerAddress);
        if (!isSameAddress && grantedIncarnations[refusal.part] == self.incarnation) {
            superseded = true;
            return false;
        }
        directory.raise(refusal.incarnation);
        return true;
    }

    /** The refusal of a late message of an earlier life names the life that stands: this one. */
    private static boolean namesThisLife(RenewReply refusal, Node self) {
        return refusal.incarnation == self.incarnation && (refusal.known == null || !refusal.known.otherLife(self));
    }
}
