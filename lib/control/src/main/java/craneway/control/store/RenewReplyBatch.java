package craneway.control.store;

import craneway.control.node.Port;
import craneway.state.message.Messages.RenewReplies;
import craneway.state.message.Messages.RenewReply;
import craneway.state.message.Messages.Renewals;
import craneway.state.message.Node;
import java.util.ArrayList;
import java.util.List;

/** The replies to the renewals of one message: they go back together, but none waits long for a part that is held up. */
final class RenewReplyBatch {
    private static final long COLLECT_TIMEOUT_MICROS = 15_000;

    private final Port port;
    private final Node self;
    private final Renewals request;
    private final long receivedAt;
    private final List<RenewReply> collectedReplies = new ArrayList<>();
    private int outstandingReplies;
    private boolean timedOut;

    RenewReplyBatch(Port port, Node self, Renewals asked) {
        this.port = port;
        this.self = self;
        this.request = asked;
        receivedAt = port.now();
        outstandingReplies = asked.parts.size();
    }

    synchronized void add(RenewReply reply) {
        if (reply.incarnation == request.from.incarnation) reply.incarnation = 0;
        reply.stamp = reply.grace = 0;
        if (reply.kind == 0) reply.leader = null;
        collectedReplies.add(reply);
        outstandingReplies--;
        if (timedOut || outstandingReplies == 0) send();
    }

    /** Sends what is ready after a while; whether nothing more is to be waited for. */
    synchronized boolean flushIfOverdue(long now) {
        if (outstandingReplies == 0) return true;
        if (now - receivedAt < COLLECT_TIMEOUT_MICROS) return false;
        timedOut = true;
        if (!collectedReplies.isEmpty()) send();
        return true;
    }

    private void send() {
        var message = new RenewReplies();
        message.stamp = request.stamp;
        message.incarnation = request.from.incarnation;
        message.grace = request.from.grace;
        if (request.leader != self.incarnation) message.leader = self;
        message.parts.addAll(collectedReplies);
        collectedReplies.clear();
        port.send(request.from.peerAddress, message);
    }
}
