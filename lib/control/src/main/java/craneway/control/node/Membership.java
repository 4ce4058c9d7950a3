package craneway.control.node;

import craneway.model.event.Event;
import craneway.model.manifest.Manifest;
import craneway.model.problem.Kind;
import craneway.model.unit.Parts;
import craneway.model.unit.TimingProfile;
import craneway.state.message.Messages.News;
import craneway.state.message.Messages.RenewReplies;
import craneway.state.message.Messages.RenewReply;
import craneway.state.message.Messages.Signal;
import craneway.state.message.Messages.Subscribe;
import craneway.state.message.Node;
import craneway.state.record.Rows;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;

public final class Membership {
    public static final long LEASE = 2_000_000, SETTLED = 1_500_000;
    private static final long LEADER_CHANGE_RETRY_MICROS = 20_000;

    /** What the rest of a process sees of the core: the news it follows and the ends of its leases. */
    public record View(
            Rows.Manifest topic,
            Manifest manifest,
            Map<String, Rows.Service> services,
            long[] leases,
            List<List<Node>> members,
            long grace,
            long[] heldSince) {
        public boolean settled(int part, long now) {
            return leased(part, now) && now >= heldSince[part] + SETTLED;
        }

        public boolean leased(int part, long now) {
            return now < leases[part];
        }

        public long leaseEnd(int part) {
            return leases[part];
        }
    }

    private final Port port;
    private final Directory directory;
    private final CoreClient coreClient;
    private final TimingProfile timing;
    private final PartLease[] partLeases = new PartLease[Parts.COUNT];
    private final TopicTable topics;
    private final LeaseRenewer renewer;
    private final LifeClaim lifeClaim;
    private boolean isLeaving;
    private boolean markedUnready;
    private volatile View view;

    public Membership(Port port, Directory directory, CoreClient coreClient) {
        this(port, directory, coreClient, TimingProfile.STANDARD);
    }

    public Membership(Port port, Directory directory, CoreClient coreClient, TimingProfile timing) {
        this.timing = timing;
        this.port = port;
        this.directory = directory;
        this.coreClient = coreClient;
        lifeClaim = new LifeClaim(directory);
        for (var i = 0; i < partLeases.length; i++) partLeases[i] = new PartLease();
        topics = new TopicTable(port, directory, coreClient, timing, part -> partLeases[part].members);
        renewer = new LeaseRenewer(port, directory, coreClient, timing, partLeases, topics);
        publishView();
    }

    public View view() {
        return view;
    }

    public synchronized void follow() {
        for (var l : partLeases) l.reset();
        topics.resetVersions();
        for (var p = 0; p < partLeases.length; p++) coreClient.leader(p, null);
        publishView();
    }

    public synchronized void signals(IntFunction<List<Signal>> from) {
        renewer.setSignalSource(from);
    }

    public Node leader(int part) {
        return coreClient.leader(part);
    }

    public synchronized boolean superseded() {
        return lifeClaim.isSuperseded();
    }

    public synchronized boolean current() {
        for (var l : partLeases) if (!l.held) return false;
        return topics.isCurrent();
    }

    public synchronized void unready() {
        markedUnready = true;
        updateServing();
        for (var l : partLeases) l.nextRenewalAt = 0;
        directory.greetSoon();
    }

    private void updateServing() {
        var is = !markedUnready && (directory.self().serving || current());
        var self = directory.self();
        if (!self.isRouter() || self.serving == is) return;
        directory.updateServing(is);
        if (timing.lowTraffic()) for (var l : partLeases) l.nextRenewalAt = 0;
    }

    public boolean usable(long now) {
        var v = view;
        return v.manifest() != null && now < v.leaseEnd(Parts.MANIFEST) + Math.max(LEASE, v.grace());
    }

    public synchronized void leave(long now) {
        isLeaving = true;
        renewer.leave();
        for (var p = 0; p < partLeases.length; p++) {
            partLeases[p].validUntil = now;
            partLeases[p].nextRenewalAt = now;
        }
        sendDueRenewals(now);
        publishView();
    }

    public synchronized void tick(long now) {
        if (lifeClaim.isSuperseded() || isLeaving || directory.self().coreId == 0) return;
        updateServing();
        for (var p = 0; p < partLeases.length; p++) {
            var l = partLeases[p];
            if (l.held && now >= l.validUntil) {
                l.held = false;
                port.note(Event.LEASE_LAPSED, "part " + p);
            }
        }
        sendDueRenewals(now);
        topics.renewSubscriptions(now);
    }

    private void sendDueRenewals(long now) {
        if (!lifeClaim.isSuperseded() && directory.self().coreId != 0) renewer.sendDue(now);
    }

    public synchronized void receive(RenewReplies all, long now) {
        for (var v : all.parts) {
            v.stamp = all.stamp;
            if (v.incarnation == 0) v.incarnation = all.incarnation;
            if (v.kind == 0) {
                v.leader = all.leader;
                v.grace = all.grace;
            }
            receive(v, now);
        }
        if (isLeaving) return;
        updateServing();
        sendDueRenewals(now);
    }

    public synchronized void receive(RenewReply v, long now) {
        if (v.part < 0 || v.part >= partLeases.length) return;
        var l = partLeases[v.part];
        if (v.kind == Kind.NOT_OWNER.code()) {
            handleNotLeader(v, l, now);
            return;
        }
        l.unansweredRenewals = 0;
        if (v.kind == Kind.STALE_MEMBER.code()) {
            if (!isLeaving && lifeClaim.handleRefusal(v)) for (var x : partLeases) x.nextRenewalAt = now;
            return;
        }
        if (v.kind != 0 || v.incarnation != directory.self().incarnation) return;
        lifeClaim.recordGrant(v.part);
        if (v.leader != null) coreClient.leader(v.part, v.leader);
        for (var i = 0; i < v.topics.size(); i++)
            topics.recordAdvertisedVersion(v.topics.get(i), v.versions.get(i), now);
        if (v.members != null) {
            l.membersVersion = v.membersVersion;
            l.members = List.copyOf(v.members);
            v.members.forEach(n -> directory.learn(n, now));
        }
        l.offeredUntil = Math.max(l.offeredUntil, v.stamp + LEASE);
        l.offeredGrace = v.grace;
        if (timing.lowTraffic() && l.nextRenewalAt > now)
            l.nextRenewalAt = renewer.isCurrent(v.part)
                    ? now + renewer.delayToNextRenewal(now)
                    : now + LeaseRenewer.SEARCH_INTERVAL_MICROS;
        acceptOffer(v.part, now);
    }

    private void handleNotLeader(RenewReply v, PartLease l, long now) {
        l.unansweredRenewals =
                Math.min(l.unansweredRenewals, timing.lowTraffic() ? LeaseRenewer.MAX_UNANSWERED_RENEWALS : 0);
        if (l.sentToAllStores) {
            directory.learn(v.leader, now);
            return;
        }
        var had = coreClient.leader(v.part);
        coreClient.leader(v.part, v.leader);
        if (v.leader == null || had != null && had.name.equals(v.leader.name)) return;
        l.unansweredRenewals = 0;
        l.nextRenewalAt = Math.min(l.nextRenewalAt, timing.lowTraffic() ? now : now + LEADER_CHANGE_RETRY_MICROS);
    }

    private void acceptOffer(int part, long now) {
        var l = partLeases[part];
        if (l.offeredUntil <= l.validUntil || topics.isTooFarBehind(part, l.held, now)) return;
        if (!l.held && now < l.offeredUntil) {
            l.held = true;
            l.heldSince = now;
            port.note(Event.LEASE_TAKEN, "part " + part);
        }
        l.acceptOffer();
        publishView();
    }

    public synchronized void receive(Subscribe s, long now) {
        topics.addSubscriber(s, now);
    }

    public synchronized void receive(News n, long now) {
        if (!topics.accept(n)) return;
        if (n.topic.equals(Parts.MANIFEST_TOPIC)) renewPartsWithUnknownTopics();
        publishView();
        partLeases[Parts.of(n.topic)].nextRenewalAt = now;
        acceptOffer(Parts.of(n.topic), now);
        if (!timing.lowTraffic() && !isLeaving) sendDueRenewals(now);
        topics.takeDeferredNews().forEach(x -> receive(x, now));
    }

    /** A manifest may name services of parts whose topics have never been told: these parts renew at once. */
    private void renewPartsWithUnknownTopics() {
        for (var p = 0; p < partLeases.length; p++) if (topics.hasUnknownTopic(p)) partLeases[p].nextRenewalAt = 0;
    }

    private void publishView() {
        var until = new long[partLeases.length];
        var since = new long[partLeases.length];
        var all = new ArrayList<List<Node>>();
        var manifest = topics.manifest();
        var grace = manifest == null ? 0 : manifest.lapsedGrace();
        for (var i = 0; i < until.length; i++) {
            until[i] = partLeases[i].validUntil;
            since[i] = partLeases[i].heldSince;
            all.add(partLeases[i].members);
            grace = Math.min(grace, partLeases[i].grace);
        }
        view = new View(topics.manifestTopic(), manifest, topics.services(), until, all, grace, since);
    }
}
