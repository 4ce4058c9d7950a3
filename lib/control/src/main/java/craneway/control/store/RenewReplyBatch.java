package craneway.control.store;

import craneway.control.node.Port;
import craneway.state.message.Messages.RenewalReplies;
import craneway.state.message.Messages.RenewalReply;
import craneway.state.message.Messages.Renewals;
import craneway.state.message.Node;
import java.util.ArrayList;
import java.util.List;

/** The replies to the renewals of one message: they go back together, but none waits long for a part that is held up. */
final class RenewReplyBatch {
    private static final long TIMEOUT = 15_000;

    private final Port port;
    private final Node self;
    private final Renewals asked;
    private final long since;
    private final List<RenewalReply> ready = new ArrayList<>();
    private int open;
    private boolean late;

    RenewReplyBatch(Port port, Node self, Renewals asked) {
        this.port = port;
        this.self = self;
        this.asked = asked;
        since = port.now();
        open = asked.parts.size();
    }

    synchronized void add(RenewalReply v) {
        if (v.incarnation == asked.from.incarnation) v.incarnation = 0;
        v.sentAt = v.graceMicros = 0;
        if (v.kind == 0) v.leader = null;
        ready.add(v);
        open--;
        if (late || open == 0) send();
    }

    /** Sends what is ready after a while; whether nothing more is to be waited for. */
    synchronized boolean over(long now) {
        if (open == 0) return true;
        if (now - since < TIMEOUT) return false;
        late = true;
        if (!ready.isEmpty()) send();
        return true;
    }

    private void send() {
        var all = new RenewalReplies();
        all.sentAt = asked.sentAt;
        all.incarnation = asked.from.incarnation;
        all.graceMicros = asked.from.graceMicros;
        if (asked.leaderIncarnation != self.incarnation) all.leader = self;
        all.parts.addAll(ready);
        ready.clear();
        port.send(asked.from.peerAddress, all);
    }
}
