package craneway.control.node;

import craneway.model.unit.Hash;
import craneway.model.unit.TimingProfile;
import craneway.state.message.Messages.Renew;
import craneway.state.message.Messages.Renewals;
import craneway.state.message.Messages.Signal;
import craneway.state.message.Node;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntFunction;

/** Sends the renewals of a process's leases, those of several parts to one leader in one message with the low-traffic profile. */
final class LeaseRenewer {
    static final int MAX_UNANSWERED_RENEWALS = 2;
    static final long SEARCH_INTERVAL_MICROS = 80_000;
    private static final long SILENT_CORE_RETRY_MICROS = 300_000;
    private static final long RETRY_DELAY_MICROS = 200_000;
    private static final int UNANSWERED_BEFORE_SLOW_RETRY = 8;
    private static final int UNANSWERED_BEFORE_SLOWEST_RETRY = 24;

    private final Port port;
    private final Directory directory;
    private final CoreClient coreClient;
    private final TimingProfile timing;
    private final PartLease[] partLeases;
    private final TopicTable topics;
    private IntFunction<List<Signal>> signalSource = part -> List.of();
    private boolean isLeaving;

    LeaseRenewer(
            Port port,
            Directory directory,
            CoreClient coreClient,
            TimingProfile timing,
            PartLease[] leases,
            TopicTable topics) {
        this.port = port;
        this.directory = directory;
        this.coreClient = coreClient;
        this.timing = timing;
        this.partLeases = leases;
        this.topics = topics;
    }

    void setSignalSource(IntFunction<List<Signal>> source) {
        signalSource = source;
    }

    /** From now on each renewal says that this process leaves. */
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

    private void renew(int part, long now, Map<String, Renewals> batchByAddress) {
        var lease = partLeases[part];
        if (lease.unansweredRenewals >= MAX_UNANSWERED_RENEWALS) coreClient.leader(part, null);
        var leader = coreClient.leader(part);
        var stores = leader == null ? directory.stores() : List.of(leader);
        lease.nextRenewalAt = now + (timing.lowTraffic() ? retryDelay(lease, part) : timing.renew());
        if (stores.isEmpty()) return;
        lease.unansweredRenewals++;
        var renewal = newRenewal(part, lease);
        lease.sentToAllStores = timing.lowTraffic() && leader == null;
        var recipients =
                lease.sentToAllStores ? stores : List.of(stores.get(Math.floorMod(lease.storeTurn++, stores.size())));
        for (var store : recipients) {
            if (timing.lowTraffic() && store.renewals)
                addToBatch(
                        renewal,
                        leader,
                        batchByAddress.computeIfAbsent(store.peerAddress, address -> newBatch(leader, now)));
            else sendSingle(renewal, store, now);
        }
    }

    /** The answer leaves out a leader that the message names, so it names one only where that is the leader of all its parts. */
    private static void addToBatch(Renew renewal, Node leader, Renewals batch) {
        if (batch.leader != incarnationOf(leader)) batch.leader = 0;
        batch.parts.add(renewal);
    }

    private static long incarnationOf(Node leader) {
        return leader == null ? 0 : leader.incarnation;
    }

    private Renew newRenewal(int part, PartLease lease) {
        var renewal = new Renew();
        renewal.part = part;
        renewal.members = lease.membersVersion;
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
        batch.stamp = now;
        batch.leaving = isLeaving;
        batch.leader = incarnationOf(leader);
        return batch;
    }

    private void sendSingle(Renew renewal, Node store, long now) {
        var message = new Renew();
        message.part = renewal.part;
        message.members = renewal.members;
        message.topics = renewal.topics;
        message.versions = renewal.versions;
        message.signals = renewal.signals;
        message.from = directory.self();
        message.stamp = now;
        message.leaving = isLeaving;
        port.send(store.peerAddress, message);
    }

    /** Until an answer comes: soon for a part that is not current, the less often the longer all are silent. */
    private long retryDelay(PartLease lease, int part) {
        if (lease.unansweredRenewals > UNANSWERED_BEFORE_SLOWEST_RETRY) return SILENT_CORE_RETRY_MICROS;
        if (lease.unansweredRenewals > UNANSWERED_BEFORE_SLOW_RETRY) return 2 * SEARCH_INTERVAL_MICROS;
        return lease.unansweredRenewals > 0 || !isCurrent(part) ? SEARCH_INTERVAL_MICROS : RETRY_DELAY_MICROS;
    }

    /** Whether a part's lease is held and every topic of it has been told once. */
    boolean isCurrent(int part) {
        return partLeases[part].held && !topics.hasUnknownTopic(part);
    }

    /** How long until the next renewal of a part that is current; all processes of a name keep to one beat. */
    long delayToNextRenewal(long now) {
        return timing.renew() - Math.floorMod(now - Hash.of(directory.self().name), timing.renew());
    }
}
