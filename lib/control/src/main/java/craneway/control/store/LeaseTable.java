package craneway.control.store;

import craneway.control.node.Membership;
import craneway.state.message.Messages.Renewal;
import craneway.state.message.Node;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** What the leader of a part knows of its members' leases: when it heard each last, and which versions each has. */
final class LeaseTable {
    private static final long LAPSE = Membership.LEASE_MICROS + 300_000;
    private static final long FORGET = 60_000_000;

    private static final class Lease {
        String partner;
        long incarnation;
        long grace;
        long seen;
        long earlierUntil = Long.MIN_VALUE;
        final Map<String, Long> versions = new HashMap<>();
    }

    private final Map<String, Lease> leases = new TreeMap<>();
    private long since;

    /** Forgets all; members that have not renewed yet count as heard at this moment. */
    void clear(long now) {
        leases.clear();
        since = now;
    }

    /** Takes a renewal that was granted. */
    void renewed(Renewal r, long now) {
        var l = leases.computeIfAbsent(r.from.name, k -> new Lease());
        if (l.partner != null && !l.partner.equals(r.from.peerAddress)) l.earlierUntil = l.seen + LAPSE + l.grace;
        if (l.incarnation != r.from.incarnation) l.versions.clear();
        l.partner = r.from.peerAddress;
        l.incarnation = r.from.incarnation;
        l.grace = r.from.graceMicros;
        l.seen = now;
        for (var i = 0; i < r.topics.size(); i++) l.versions.put(r.topics.get(i), r.versions.get(i));
    }

    /** The version of a topic that the member said it has. */
    long version(String name, String topic) {
        var l = leases.get(name);
        return l == null ? 0 : l.versions.getOrDefault(topic, 0L);
    }

    private long seen(String name) {
        var l = leases.get(name);
        return l == null ? since : l.seen;
    }

    /** Whether the member's lease, and the grace after it, may still run. */
    boolean mayAct(Node member, long grace, long now) {
        return now - seen(member.name) < LAPSE + grace || earlierMayAct(member, now);
    }

    /** Whether an earlier life of this name at another address may still hold a lease. */
    boolean earlierMayAct(Node member, long now) {
        var l = leases.get(member.name);
        return l != null && now < l.earlierUntil;
    }

    boolean lapsed(Node member, long now) {
        return now - seen(member.name) > LAPSE;
    }

    boolean forgotten(Node member, long now) {
        return now - seen(member.name) > FORGET + member.graceMicros;
    }
}
