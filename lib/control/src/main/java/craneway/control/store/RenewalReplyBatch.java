package craneway.control.store;

import craneway.control.node.Port;
import craneway.state.message.Messages.RenewalReplies;
import craneway.state.message.Messages.RenewalReply;
import craneway.state.message.Messages.Renewals;
import craneway.state.message.Node;
import java.util.ArrayList;
import java.util.List;

/**
 * Collects the replies to the renewals that came in one message and sends them in one message. If a part is slow, the
 * replies collected so far are sent after a timeout, and the later ones on their own. Safe for several threads.
 */
final class RenewalReplyBatch {
    /** How long the first replies wait for the others. */
    private static final long COLLECT_TIMEOUT_MICROS = 15_000;

    private final Port port;
    private final Node self;
    private final Renewals request;
    private final long receivedAt;
    private final List<RenewalReply> collectedReplies = new ArrayList<>();
    private int outstandingReplies;
    private boolean timedOut;

    RenewalReplyBatch(Port port, Node self, Renewals request) {
        this.port = port;
        this.self = self;
        this.request = request;
        receivedAt = port.now();
        outstandingReplies = request.parts.size();
    }

    /**
     * Adds the reply of a part, without what the message as a whole already says, and sends if no other reply is
     * outstanding.
     */
    synchronized void add(RenewalReply reply) {
        if (reply.incarnation == request.from.incarnation) reply.incarnation = 0;
        reply.sentAt = reply.graceMicros = 0;
        if (reply.kind == 0) reply.leader = null;
        collectedReplies.add(reply);
        outstandingReplies--;
        if (timedOut || outstandingReplies == 0) send();
    }

    /**
     * Sends the replies collected so far once the timeout is over. Returns whether the batch is done and needs no
     * further call.
     */
    synchronized boolean flushIfOverdue(long now) {
        if (outstandingReplies == 0) return true;
        if (now - receivedAt < COLLECT_TIMEOUT_MICROS) return false;
        timedOut = true;
        if (!collectedReplies.isEmpty()) send();
        return true;
    }

    private void send() {
        var message = new RenewalReplies();
        message.sentAt = request.sentAt;
        message.incarnation = request.from.incarnation;
        message.graceMicros = request.from.graceMicros;
        if (request.leaderIncarnation != self.incarnation) message.leader = self;
        message.parts.addAll(collectedReplies);
        collectedReplies.clear();
        port.send(request.from.peerAddress, message);
    }
}
