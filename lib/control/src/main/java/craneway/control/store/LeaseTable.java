package craneway.control.store;

import craneway.control.node.Membership;
import craneway.state.message.Messages.Renew;
import craneway.state.message.Node;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** What the leader of a part knows of its members' leases: when it heard each last, and which versions each has. */
final class LeaseTable {
    private static final long LAPSE_AFTER_MICROS = Membership.LEASE + 300_000;
    private static final long FORGET_AFTER_MICROS = 60_000_000;

    private static final class Lease {
        String address;
        long incarnation;
        long graceMicros;
        long renewedAt;
        long earlierInstanceUntil = Long.MIN_VALUE;
        final Map<String, Long> versionByTopic = new HashMap<>();
    }

    private final Map<String, Lease> leaseByMember = new TreeMap<>();
    private long clearedAt;

    /** Forgets all; members that have not renewed yet count as heard at this moment. */
    void clear(long now) {
        leaseByMember.clear();
        clearedAt = now;
    }

    /** Takes a renewal that was granted. */
    void recordRenewal(Renew r, long now) {
        var l = leaseByMember.computeIfAbsent(r.from.name, k -> new Lease());
        if (l.address != null && !l.address.equals(r.from.peerAddress))
            l.earlierInstanceUntil = l.renewedAt + LAPSE_AFTER_MICROS + l.graceMicros;
        if (l.incarnation != r.from.incarnation) l.versionByTopic.clear();
        l.address = r.from.peerAddress;
        l.incarnation = r.from.incarnation;
        l.graceMicros = r.from.grace;
        l.renewedAt = now;
        for (var i = 0; i < r.topics.size(); i++) l.versionByTopic.put(r.topics.get(i), r.versions.get(i));
    }

    /** The version of a topic that the member said it has. */
    long reportedVersion(String name, String topic) {
        var l = leaseByMember.get(name);
        return l == null ? 0 : l.versionByTopic.getOrDefault(topic, 0L);
    }

    private long lastRenewedAt(String name) {
        var l = leaseByMember.get(name);
        return l == null ? clearedAt : l.renewedAt;
    }

    /** Whether the member's lease, and the grace after it, may still run. */
    boolean mayStillAct(Node member, long grace, long now) {
        return now - lastRenewedAt(member.name) < LAPSE_AFTER_MICROS + grace || earlierInstanceMayAct(member, now);
    }

    /** Whether an earlier life of this name at another address may still hold a lease. */
    boolean earlierInstanceMayAct(Node member, long now) {
        var l = leaseByMember.get(member.name);
        return l != null && now < l.earlierInstanceUntil;
    }

    boolean hasLapsed(Node member, long now) {
        return now - lastRenewedAt(member.name) > LAPSE_AFTER_MICROS;
    }

    boolean isForgettable(Node member, long now) {
        return now - lastRenewedAt(member.name) > FORGET_AFTER_MICROS + member.grace;
    }
}
