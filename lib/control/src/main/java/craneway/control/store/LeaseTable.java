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
    void recordRenewal(Renew renewal, long now) {
        var lease = leaseByMember.computeIfAbsent(renewal.from.name, name -> new Lease());
        if (lease.address != null && !lease.address.equals(renewal.from.peerAddress))
            lease.earlierInstanceUntil = lease.renewedAt + LAPSE_AFTER_MICROS + lease.graceMicros;
        if (lease.incarnation != renewal.from.incarnation) lease.versionByTopic.clear();
        lease.address = renewal.from.peerAddress;
        lease.incarnation = renewal.from.incarnation;
        lease.graceMicros = renewal.from.grace;
        lease.renewedAt = now;
        for (var i = 0; i < renewal.topics.size(); i++)
            lease.versionByTopic.put(renewal.topics.get(i), renewal.versions.get(i));
    }

    /** The version of a topic that the member said it has. */
    long reportedVersion(String name, String topic) {
        var lease = leaseByMember.get(name);
        return lease == null ? 0 : lease.versionByTopic.getOrDefault(topic, 0L);
    }

    private long lastRenewedAt(String name) {
        var lease = leaseByMember.get(name);
        return lease == null ? clearedAt : lease.renewedAt;
    }

    /** Whether the member's lease, and the grace after it, may still run. */
    boolean mayStillAct(Node member, long graceMicros, long now) {
        return now - lastRenewedAt(member.name) < LAPSE_AFTER_MICROS + graceMicros
                || earlierInstanceMayAct(member, now);
    }

    /** Whether an earlier life of this name at another address may still hold a lease. */
    boolean earlierInstanceMayAct(Node member, long now) {
        var lease = leaseByMember.get(member.name);
        return lease != null && now < lease.earlierInstanceUntil;
    }

    boolean hasLapsed(Node member, long now) {
        return now - lastRenewedAt(member.name) > LAPSE_AFTER_MICROS;
    }

    boolean isForgettable(Node member, long now) {
        return now - lastRenewedAt(member.name) > FORGET_AFTER_MICROS + member.grace;
    }
}
