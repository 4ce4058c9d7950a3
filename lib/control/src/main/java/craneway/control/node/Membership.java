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
        for (var part = 0; part < partLeases.length; part++) partLeases[part] = new PartLease();
        topics = new TopicTable(port, directory, coreClient, timing, part -> partLeases[part].members);
        renewer = new LeaseRenewer(port, directory, coreClient, timing, partLeases, topics);
        publishView();
    }

    public View view() {
        return view;
    }

    public synchronized void follow() {
        for (var lease : partLeases) lease.reset();
        topics.resetVersions();
        for (var part = 0; part < partLeases.length; part++) coreClient.leader(part, null);
        publishView();
    }

    public synchronized void signals(IntFunction<List<Signal>> source) {
        renewer.setSignalSource(source);
    }

    public Node leader(int part) {
        return coreClient.leader(part);
    }

    public synchronized boolean superseded() {
        return lifeClaim.isSuperseded();
    }

    public synchronized boolean current() {
        for (var lease : partLeases) if (!lease.held) return false;
        return topics.isCurrent();
    }

    public synchronized void unready() {
        markedUnready = true;
        updateServing();
        for (var lease : partLeases) lease.nextRenewalAt = 0;
        directory.greetSoon();
    }

    private void updateServing() {
        var serving = !markedUnready && (directory.self().serving || current());
        var self = directory.self();
        if (!self.isRouter() || self.serving == serving) return;
        directory.updateServing(serving);
        if (timing.lowTraffic()) for (var lease : partLeases) lease.nextRenewalAt = 0;
    }

    public boolean usable(long now) {
        var currentView = view;
        return currentView.manifest() != null
                && now < currentView.leaseEnd(Parts.MANIFEST) + Math.max(LEASE, currentView.grace());
    }

    public synchronized void leave(long now) {
        isLeaving = true;
        renewer.leave();
        for (var part = 0; part < partLeases.length; part++) {
            partLeases[part].validUntil = now;
            partLeases[part].nextRenewalAt = now;
        }
        sendDueRenewals(now);
        publishView();
    }

    public synchronized void tick(long now) {
        if (lifeClaim.isSuperseded() || isLeaving || directory.self().coreId == 0) return;
        updateServing();
        for (var part = 0; part < partLeases.length; part++) {
            var lease = partLeases[part];
            if (lease.held && now >= lease.validUntil) {
                lease.held = false;
                port.note(Event.LEASE_LAPSED, "part " + part);
            }
        }
        sendDueRenewals(now);
        topics.renewSubscriptions(now);
    }

    private void sendDueRenewals(long now) {
        if (!lifeClaim.isSuperseded() && directory.self().coreId != 0) renewer.sendDue(now);
    }

    public synchronized void receive(RenewReplies replies, long now) {
        for (var reply : replies.parts) {
            reply.stamp = replies.stamp;
            if (reply.incarnation == 0) reply.incarnation = replies.incarnation;
            if (reply.kind == 0) {
                reply.leader = replies.leader;
                reply.grace = replies.grace;
            }
            receive(reply, now);
        }
        if (isLeaving) return;
        updateServing();
        sendDueRenewals(now);
    }

    public synchronized void receive(RenewReply reply, long now) {
        if (reply.part < 0 || reply.part >= partLeases.length) return;
        var lease = partLeases[reply.part];
        if (reply.kind == Kind.NOT_OWNER.code()) {
            handleNotLeader(reply, lease, now);
            return;
        }
        lease.unansweredRenewals = 0;
        if (reply.kind == Kind.STALE_MEMBER.code()) {
            if (!isLeaving && lifeClaim.handleRefusal(reply)) for (var other : partLeases) other.nextRenewalAt = now;
            return;
        }
        if (reply.kind != 0 || reply.incarnation != directory.self().incarnation) return;
        lifeClaim.recordGrant(reply.part);
        if (reply.leader != null) coreClient.leader(reply.part, reply.leader);
        for (var i = 0; i < reply.topics.size(); i++)
            topics.recordAdvertisedVersion(reply.topics.get(i), reply.versions.get(i), now);
        if (reply.members != null) {
            lease.membersVersion = reply.membersVersion;
            lease.members = List.copyOf(reply.members);
            reply.members.forEach(member -> directory.learn(member, now));
        }
        lease.offeredUntil = Math.max(lease.offeredUntil, reply.stamp + LEASE);
        lease.offeredGrace = reply.grace;
        if (timing.lowTraffic() && lease.nextRenewalAt > now)
            lease.nextRenewalAt = renewer.isCurrent(reply.part)
                    ? now + renewer.delayToNextRenewal(now)
                    : now + LeaseRenewer.SEARCH_INTERVAL_MICROS;
        acceptOffer(reply.part, now);
    }

    private void handleNotLeader(RenewReply reply, PartLease lease, long now) {
        lease.unansweredRenewals =
                Math.min(lease.unansweredRenewals, timing.lowTraffic() ? LeaseRenewer.MAX_UNANSWERED_RENEWALS : 0);
        if (lease.sentToAllStores) {
            directory.learn(reply.leader, now);
            return;
        }
        var previous = coreClient.leader(reply.part);
        coreClient.leader(reply.part, reply.leader);
        if (reply.leader == null || previous != null && previous.name.equals(reply.leader.name)) return;
        lease.unansweredRenewals = 0;
        lease.nextRenewalAt =
                Math.min(lease.nextRenewalAt, timing.lowTraffic() ? now : now + LEADER_CHANGE_RETRY_MICROS);
    }

    private void acceptOffer(int part, long now) {
        var lease = partLeases[part];
        if (lease.offeredUntil <= lease.validUntil || topics.isTooFarBehind(part, lease.held, now)) return;
        if (!lease.held && now < lease.offeredUntil) {
            lease.held = true;
            lease.heldSince = now;
            port.note(Event.LEASE_TAKEN, "part " + part);
        }
        lease.acceptOffer();
        publishView();
    }

    public synchronized void receive(Subscribe subscription, long now) {
        topics.addSubscriber(subscription, now);
    }

    public synchronized void receive(News news, long now) {
        if (!topics.accept(news)) return;
        if (news.topic.equals(Parts.MANIFEST_TOPIC)) renewPartsWithUnknownTopics();
        publishView();
        partLeases[Parts.of(news.topic)].nextRenewalAt = now;
        acceptOffer(Parts.of(news.topic), now);
        if (!timing.lowTraffic() && !isLeaving) sendDueRenewals(now);
        topics.takeDeferredNews().forEach(deferred -> receive(deferred, now));
    }

    /** A manifest may name services of parts whose topics have never been told: these parts renew at once. */
    private void renewPartsWithUnknownTopics() {
        for (var part = 0; part < partLeases.length; part++)
            if (topics.hasUnknownTopic(part)) partLeases[part].nextRenewalAt = 0;
    }

    private void publishView() {
        var leaseEnds = new long[partLeases.length];
        var heldSince = new long[partLeases.length];
        var members = new ArrayList<List<Node>>();
        var manifest = topics.manifest();
        var grace = manifest == null ? 0 : manifest.lapsedGrace();
        for (var part = 0; part < leaseEnds.length; part++) {
            leaseEnds[part] = partLeases[part].validUntil;
            heldSince[part] = partLeases[part].heldSince;
            members.add(partLeases[part].members);
            grace = Math.min(grace, partLeases[part].grace);
        }
        view = new View(topics.manifestTopic(), manifest, topics.services(), leaseEnds, members, grace, heldSince);
    }
}
