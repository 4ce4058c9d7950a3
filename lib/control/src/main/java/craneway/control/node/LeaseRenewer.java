package craneway.control.node;

import craneway.model.unit.Hash;
import craneway.model.unit.TimingProfile;
import craneway.state.message.Messages.Renewal;
import craneway.state.message.Messages.Renewals;
import craneway.state.message.Messages.CellSignal;
import craneway.state.message.Node;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntFunction;

/** Sends the renewals of a process's leases, those of several parts to one leader in one message with the low-traffic profile. */
final class LeaseRenewer {
    static final int MAX_UNANSWERED = 2;
    static final long SEARCH = 80_000;
    private static final long IMPATIENT = 300_000;
    private static final long RETRY_AFTER = 200_000;
    private static final int MANY_SILENCES = 8;
    private static final int MOST_SILENCES = 24;

    private final Port port;
    private final NodeDirectory directory;
    private final CoreClient coreClient;
    private final TimingProfile timing;
    private final PartLease[] leases;
    private final TopicTable topics;
    private IntFunction<List<CellSignal>> signals = p -> List.of();
    private boolean leaving;

    LeaseRenewer(
            Port port,
            NodeDirectory directory,
            CoreClient coreClient,
            TimingProfile timing,
            PartLease[] leases,
            TopicTable topics) {
        this.port = port;
        this.directory = directory;
        this.coreClient = coreClient;
        this.timing = timing;
        this.leases = leases;
        this.topics = topics;
    }

    void signals(IntFunction<List<CellSignal>> from) {
        signals = from;
    }

    /** From now on each renewal says that this process leaves. */
    void leave() {
        leaving = true;
    }

    /** Sends the renewals that are due. */
    void send(long now) {
        var all = new TreeMap<String, Renewals>();
        for (var p = 0; p < leases.length; p++) if (now >= leases[p].due) renew(p, now, all);
        all.forEach(port::send);
    }

    private void renew(int part, long now, Map<String, Renewals> all) {
        var l = leases[part];
        if (l.unanswered >= MAX_UNANSWERED) coreClient.leader(part, null);
        var leader = coreClient.leader(part);
        var stores = leader == null ? directory.stores() : List.of(leader);
        l.due = now + (timing.lowTraffic() ? again(l, part) : timing.leaseRenewalInterval());
        if (stores.isEmpty()) return;
        l.unanswered++;
        var r = renewal(part, l);
        l.spread = timing.lowTraffic() && leader == null;
        var to = l.spread ? stores : List.of(stores.get(Math.floorMod(l.turn++, stores.size())));
        for (var s : to) {
            if (timing.lowTraffic() && s.supportsRenewalBatches)
                join(r, leader, all.computeIfAbsent(s.peerAddress, a -> renewals(leader, now)));
            else alone(r, s, now);
        }
    }

    /** The answer leaves out a leader that the message names, so it names one only where that is the leader of all its parts. */
    private static void join(Renewal part, Node leader, Renewals to) {
        if (to.leaderIncarnation != incarnation(leader)) to.leaderIncarnation = 0;
        to.parts.add(part);
    }

    private static long incarnation(Node leader) {
        return leader == null ? 0 : leader.incarnation;
    }

    private Renewal renewal(int part, PartLease l) {
        var r = new Renewal();
        r.part = part;
        r.membersVersion = l.membersVersion;
        r.signals.addAll(signals.apply(part));
        topics.versions(part, (name, version) -> {
            r.topics.add(name);
            r.versions.add(version);
        });
        return r;
    }

    private Renewals renewals(Node leader, long now) {
        var r = new Renewals();
        r.from = directory.self();
        r.sentAt = now;
        r.leaving = leaving;
        r.leaderIncarnation = incarnation(leader);
        return r;
    }

    private void alone(Renewal part, Node to, long now) {
        var r = new Renewal();
        r.part = part.part;
        r.membersVersion = part.membersVersion;
        r.topics = part.topics;
        r.versions = part.versions;
        r.signals = part.signals;
        r.from = directory.self();
        r.sentAt = now;
        r.leaving = leaving;
        port.send(to.peerAddress, r);
    }

    /** Until an answer comes: soon for a part that is not current, the less often the longer all are silent. */
    private long again(PartLease l, int part) {
        if (l.unanswered > MOST_SILENCES) return IMPATIENT;
        if (l.unanswered > MANY_SILENCES) return 2 * SEARCH;
        return l.unanswered > 0 || !current(part) ? SEARCH : RETRY_AFTER;
    }

    /** Whether a part's lease is held and every topic of it has been told once. */
    boolean current(int part) {
        return leases[part].held && !topics.untold(part);
    }

    /** How long until the next renewal of a part that is current; all processes of a name keep to one beat. */
    long pause(long now) {
        return timing.leaseRenewalInterval() - Math.floorMod(now - Hash.of(directory.self().name), timing.leaseRenewalInterval());
    }
}
