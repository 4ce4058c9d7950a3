package craneway.control.store;

import craneway.control.node.Membership;
import craneway.state.message.Messages.Renewal;
import craneway.state.message.Node;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The leases that the leader of a part has granted to members: when each renewed last and which topic versions it
 * reported. Kept in memory only; used from the replica's events.
 */
final class LeaseTable {
    /**
     * A member counts as lapsed this long after its last renewal: the length of a lease and 300 ms for the transit of
     * the messages.
     */
    private static final long LAPSE_AFTER_MICROS = Membership.LEASE_MICROS + 300_000;
    /** A lapsed member is removed this long after its last renewal, plus its grace. */
    private static final long FORGET_AFTER_MICROS = 60_000_000;

    /** The lease of one member name. */
    private static final class Lease {
        String address;
        long incarnation;
        long graceMicros;
        long renewedAt;
        /** Until when a process that held this name at another address may still act on its lease. */
        long earlierInstanceUntil = Long.MIN_VALUE;

        final Map<String, Long> versionByTopic = new HashMap<>();
    }

    private final Map<String, Lease> leaseByMember = new TreeMap<>();
    private long clearedAt;

    /** Removes all leases, for a new leader; members that have not renewed yet count as renewed at this moment. */
    void clear(long now) {
        leaseByMember.clear();
        clearedAt = now;
    }

    /** Records a renewal that was granted. */
    void recordRenewal(Renewal renewal, long now) {
        var lease = leaseByMember.computeIfAbsent(renewal.from.name, name -> new Lease());
        if (lease.address != null && !lease.address.equals(renewal.from.peerAddress))
            lease.earlierInstanceUntil = lease.renewedAt + LAPSE_AFTER_MICROS + lease.graceMicros;
        if (lease.incarnation != renewal.from.incarnation) lease.versionByTopic.clear();
        lease.address = renewal.from.peerAddress;
        lease.incarnation = renewal.from.incarnation;
        lease.graceMicros = renewal.from.graceMicros;
        lease.renewedAt = now;
        for (var i = 0; i < renewal.topics.size(); i++)
            lease.versionByTopic.put(renewal.topics.get(i), renewal.versions.get(i));
    }

    /** The version of a topic that the member reported last; 0 if none. */
    long reportedVersion(String name, String topic) {
        var lease = leaseByMember.get(name);
        return lease == null ? 0 : lease.versionByTopic.getOrDefault(topic, 0L);
    }

    private long lastRenewedAt(String name) {
        var lease = leaseByMember.get(name);
        return lease == null ? clearedAt : lease.renewedAt;
    }

    /** Whether the member, or an earlier process of its name, may still act on its lease or on the grace after it. */
    boolean mayStillAct(Node member, long graceMicros, long now) {
        return now - lastRenewedAt(member.name) < LAPSE_AFTER_MICROS + graceMicros
                || earlierInstanceMayAct(member, now);
    }

    /** Whether an earlier process of this name at another address may still hold a lease. */
    boolean earlierInstanceMayAct(Node member, long now) {
        var lease = leaseByMember.get(member.name);
        return lease != null && now < lease.earlierInstanceUntil;
    }

    /** Whether the lease of the member is over, apart from its grace. */
    boolean hasLapsed(Node member, long now) {
        return now - lastRenewedAt(member.name) > LAPSE_AFTER_MICROS;
    }

    /** Whether the member has been silent for so long that its row can be removed. */
    boolean isForgettable(Node member, long now) {
        return now - lastRenewedAt(member.name) > FORGET_AFTER_MICROS + member.graceMicros;
    }
}
