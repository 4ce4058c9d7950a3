package craneway.control.node;

import craneway.model.unit.Hash;
import craneway.model.unit.TimingProfile;
import craneway.state.message.Messages.CellSignal;
import craneway.state.message.Messages.Renewal;
import craneway.state.message.Messages.Renewals;
import craneway.state.message.Node;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntFunction;

/**
 * Sends the renewals of a process's leases. With the low-traffic profile, those of several parts go to a common
 * leader in one message. Not synchronized; {@link Membership} guards it.
 */
final class LeaseRenewer {
    /** After this many renewals without an answer the leader counts as unknown. */
    static final int MAX_UNANSWERED_RENEWALS = 2;
    /**
     * With the low-traffic profile, how often a renewal is repeated while no answer came or the part is not current.
     */
    static final long SEARCH_INTERVAL_MICROS = 80_000;
    /** The retry delay after the largest number of unanswered renewals. */
    private static final long SILENT_CORE_RETRY_MICROS = 300_000;
    /** How long to wait for the answer to the regular renewal of a current part. */
    private static final long RETRY_DELAY_MICROS = 200_000;
    /** With more unanswered renewals than this the retry delay doubles. */
    private static final int UNANSWERED_BEFORE_SLOW_RETRY = 8;
    /** With more unanswered renewals than this the retry delay is {@link #SILENT_CORE_RETRY_MICROS}. */
    private static final int UNANSWERED_BEFORE_SLOWEST_RETRY = 24;

    private final Port port;
    private final NodeDirectory directory;
    private final CoreClient coreClient;
    private final TimingProfile timing;
    private final PartLease[] partLeases;
    private final TopicTable topics;
    private IntFunction<List<CellSignal>> signalSource = part -> List.of();
    private boolean isLeaving;

    LeaseRenewer(
            Port port,
            NodeDirectory directory,
            CoreClient coreClient,
            TimingProfile timing,
            PartLease[] partLeases,
            TopicTable topics) {
        this.port = port;
        this.directory = directory;
        this.coreClient = coreClient;
        this.timing = timing;
        this.partLeases = partLeases;
        this.topics = topics;
    }

    /** Sets where the signals of a part come from. */
    void setSignalSource(IntFunction<List<CellSignal>> source) {
        signalSource = source;
    }

    /** Makes every further renewal state that this process leaves. */
    void leave() {
        isLeaving = true;
    }

    /** Sends the renewals that are due. */
    void sendDue(long now) {
        var batchByAddress = new TreeMap<String, Renewals>();
        for (var part = 0; part < partLeases.length; part++)
            if (now >= partLeases[part].nextRenewalAt) renew(part, now, batchByAddress);
        batchByAddress.forEach(port::send);
    }

    /**
     * Sends the renewal of one part to its leader. While the leader is unknown it goes to all stores with the
     * low-traffic profile, else to one store in turn.
     */
    private void renew(int part, long now, Map<String, Renewals> batchByAddress) {
        var lease = partLeases[part];
        if (lease.unansweredRenewals >= MAX_UNANSWERED_RENEWALS) coreClient.leader(part, null);
        var leader = coreClient.leader(part);
        var stores = leader == null ? directory.stores() : List.of(leader);
        lease.nextRenewalAt = now + (timing.lowTraffic() ? retryDelay(lease, part) : timing.leaseRenewalInterval());
        if (stores.isEmpty()) return;
        lease.unansweredRenewals++;
        var renewal = renewalFor(part, lease);
        lease.sentToAllStores = timing.lowTraffic() && leader == null;
        var recipients =
                lease.sentToAllStores ? stores : List.of(stores.get(Math.floorMod(lease.storeTurn++, stores.size())));
        for (var store : recipients) {
            if (timing.lowTraffic() && store.supportsRenewalBatches)
                addToBatch(
                        renewal,
                        leader,
                        batchByAddress.computeIfAbsent(store.peerAddress, address -> newBatch(leader, now)));
            else sendSingle(renewal, store, now);
        }
    }

    /**
     * Adds a renewal to a message. The reply leaves out the leader that the message names, so the message may name
     * one only if it leads all parts in it.
     */
    private static void addToBatch(Renewal renewal, Node leader, Renewals batch) {
        if (batch.leaderIncarnation != incarnationOf(leader)) batch.leaderIncarnation = 0;
        batch.parts.add(renewal);
    }

    /** The incarnation of a leader; 0 if it is unknown. */
    private static long incarnationOf(Node leader) {
        return leader == null ? 0 : leader.incarnation;
    }

    /** The renewal of one part, without the fields that a message for several parts carries once. */
    private Renewal renewalFor(int part, PartLease lease) {
        var renewal = new Renewal();
        renewal.part = part;
        renewal.membersVersion = lease.membersVersion;
        renewal.signals.addAll(signalSource.apply(part));
        topics.forEachVersion(part, (name, version) -> {
            renewal.topics.add(name);
            renewal.versions.add(version);
        });
        return renewal;
    }

    private Renewals newBatch(Node leader, long now) {
        var batch = new Renewals();
        batch.from = directory.self();
        batch.sentAt = now;
        batch.leaving = isLeaving;
        batch.leaderIncarnation = incarnationOf(leader);
        return batch;
    }

    /** Sends a renewal in a message of its own. */
    private void sendSingle(Renewal renewal, Node store, long now) {
        var message = new Renewal();
        message.part = renewal.part;
        message.membersVersion = renewal.membersVersion;
        message.topics = renewal.topics;
        message.versions = renewal.versions;
        message.signals = renewal.signals;
        message.from = directory.self();
        message.sentAt = now;
        message.leaving = isLeaving;
        port.send(store.peerAddress, message);
    }

    /**
     * How long to wait for an answer: short for a part that is not current, longer the more renewals went unanswered.
     */
    private long retryDelay(PartLease lease, int part) {
        if (lease.unansweredRenewals > UNANSWERED_BEFORE_SLOWEST_RETRY) return SILENT_CORE_RETRY_MICROS;
        if (lease.unansweredRenewals > UNANSWERED_BEFORE_SLOW_RETRY) return 2 * SEARCH_INTERVAL_MICROS;
        return lease.unansweredRenewals > 0 || !isCurrent(part) ? SEARCH_INTERVAL_MICROS : RETRY_DELAY_MICROS;
    }

    /** Whether the lease of a part is held and every topic of it has been received. */
    boolean isCurrent(int part) {
        return partLeases[part].held && !topics.hasUnknownTopic(part);
    }

    /**
     * How long until the next renewal of a current part. Renewals fall on fixed times that depend on the process's
     * name, so that those of all parts go out together.
     */
    long delayToNextRenewal(long now) {
        return timing.leaseRenewalInterval()
                - Math.floorMod(now - Hash.of(directory.self().name), timing.leaseRenewalInterval());
    }
}
