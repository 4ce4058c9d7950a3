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
    private IntFunction<List<Signal>> signalSource = p -> List.of();
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

    void setSignalSource(IntFunction<List<Signal>> from) {
        signalSource = from;
    }

    /** From now on each renewal says that this process leaves. */
    void leave() {
        isLeaving = true;
    }

    /** Sends the renewals that are due. */
    void sendDue(long now) {
        var all = new TreeMap<String, Renewals>();
        for (var p = 0; p < partLeases.length; p++) if (now >= partLeases[p].nextRenewalAt) renew(p, now, all);
        all.forEach(port::send);
    }

    private void renew(int part, long now, Map<String, Renewals> all) {
        var l = partLeases[part];
        if (l.unansweredRenewals >= MAX_UNANSWERED_RENEWALS) coreClient.leader(part, null);
        var leader = coreClient.leader(part);
        var stores = leader == null ? directory.stores() : List.of(leader);
        l.nextRenewalAt = now + (timing.lowTraffic() ? retryDelay(l, part) : timing.renew());
        if (stores.isEmpty()) return;
        l.unansweredRenewals++;
        var r = newRenewal(part, l);
        l.sentToAllStores = timing.lowTraffic() && leader == null;
        var to = l.sentToAllStores ? stores : List.of(stores.get(Math.floorMod(l.storeTurn++, stores.size())));
        for (var s : to) {
            if (timing.lowTraffic() && s.renewals)
                addToBatch(r, leader, all.computeIfAbsent(s.peerAddress, a -> newBatch(leader, now)));
            else sendSingle(r, s, now);
        }
    }

    /** The answer leaves out a leader that the message names, so it names one only where that is the leader of all its parts. */
    private static void addToBatch(Renew part, Node leader, Renewals to) {
        if (to.leader != incarnationOf(leader)) to.leader = 0;
        to.parts.add(part);
    }

    private static long incarnationOf(Node leader) {
        return leader == null ? 0 : leader.incarnation;
    }

    private Renew newRenewal(int part, PartLease l) {
        var r = new Renew();
        r.part = part;
        r.members = l.membersVersion;
        r.signals.addAll(signalSource.apply(part));
        topics.forEachVersion(part, (name, version) -> {
            r.topics.add(name);
            r.versions.add(version);
        });
        return r;
    }

    private Renewals newBatch(Node leader, long now) {
        var r = new Renewals();
        r.from = directory.self();
        r.stamp = now;
        r.leaving = isLeaving;
        r.leader = incarnationOf(leader);
        return r;
    }

    private void sendSingle(Renew part, Node to, long now) {
        var r = new Renew();
        r.part = part.part;
        r.members = part.members;
        r.topics = part.topics;
        r.versions = part.versions;
        r.signals = part.signals;
        r.from = directory.self();
        r.stamp = now;
        r.leaving = isLeaving;
        port.send(to.peerAddress, r);
    }

    /** Until an answer comes: soon for a part that is not current, the less often the longer all are silent. */
    private long retryDelay(PartLease l, int part) {
        if (l.unansweredRenewals > UNANSWERED_BEFORE_SLOWEST_RETRY) return SILENT_CORE_RETRY_MICROS;
        if (l.unansweredRenewals > UNANSWERED_BEFORE_SLOW_RETRY) return 2 * SEARCH_INTERVAL_MICROS;
        return l.unansweredRenewals > 0 || !isCurrent(part) ? SEARCH_INTERVAL_MICROS : RETRY_DELAY_MICROS;
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
