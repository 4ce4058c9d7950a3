package craneway.control.node;

import craneway.model.unit.Parts;
import craneway.state.message.Messages.RenewalReply;
import craneway.state.message.Node;

/**
 * Which life of a process's name stands. A process whose incarnation is refused raises it above the known one, as long as the
 * part has not granted it yet or the known life had the very address that this process holds; else a later life elsewhere
 * has taken its place.
 */
final class LifeClaim {
    private final NodeDirectory directory;
    private final long[] granted = new long[Parts.COUNT];
    private boolean superseded;

    LifeClaim(NodeDirectory directory) {
        this.directory = directory;
    }

    boolean superseded() {
        return superseded;
    }

    /** A part has taken this process in under its present incarnation. */
    void granted(int part) {
        granted[part] = directory.self().incarnation;
    }

    /** A part has refused; whether the incarnation was raised, so that all parts are to be asked again. */
    boolean refused(RenewalReply v) {
        var self = directory.self();
        if (v.incarnation < self.incarnation || own(v, self)) return false;
        var here = v.recordedMember != null && v.recordedMember.peerAddress.equals(self.peerAddress);
        if (!here && granted[v.part] == self.incarnation) {
            superseded = true;
            return false;
        }
        directory.raiseIncarnation(v.incarnation);
        return true;
    }

    /** The refusal of a late message of an earlier life names the life that stands: this one. */
    private static boolean own(RenewalReply v, Node self) {
        return v.incarnation == self.incarnation && (v.recordedMember == null || !v.recordedMember.isOtherSession(self));
    }
}
