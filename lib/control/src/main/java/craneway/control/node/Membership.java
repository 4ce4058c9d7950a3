package craneway.control.node;

import craneway.model.event.Event;
import craneway.model.manifest.Manifest;
import craneway.model.problem.ProblemKind;
import craneway.model.unit.Parts;
import craneway.model.unit.TimingProfile;
import craneway.state.message.Messages.CellSignal;
import craneway.state.message.Messages.RenewalReplies;
import craneway.state.message.Messages.RenewalReply;
import craneway.state.message.Messages.Subscription;
import craneway.state.message.Messages.TopicUpdate;
import craneway.state.message.Node;
import craneway.state.record.Rows;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;

/**
 * Keeps the leases of this process at all parts and follows the manifest and the tables. A lease is extended only
 * while the topics of its part are current, so that a process that holds it does not act on outdated tables.
 *
 * <p>Methods are synchronized; {@link #view()} reads an immutable snapshot without a lock. Times are microseconds.
 */
public final class Membership {
    /** The length of a lease in microseconds, counted from when the renewal was sent. */
    public static final long LEASE_MICROS = 2_000_000;

    /** A lease counts as settled once it has been held for this many microseconds. */
    public static final long SETTLED_AFTER_MICROS = 1_500_000;

    /** How soon a renewal is sent again after a store has named another leader. */
    private static final long LEADER_CHANGE_RETRY_MICROS = 20_000;

    /**
     * What the rest of the process sees of the core. Arrays and lists are indexed by part and must not be changed.
     *
     * @param manifestRow the content of the manifest topic
     * @param manifest the manifest in force; null before the first
     * @param services the services by name
     * @param leaseEnds the end of the lease at each part
     * @param membersByPart the members that the leader of each part reported last
     * @param graceMicros how long this process may act after a lease has lapsed; the smallest over all parts
     * @param heldSinceByPart since when the lease at each part has been held
     */
    public record CoreView(
            Rows.Manifest manifestRow,
            Manifest manifest,
            Map<String, Rows.Service> services,
            long[] leaseEnds,
            List<List<Node>> membersByPart,
            long graceMicros,
            long[] heldSinceByPart) {
        /** Whether the lease at a part is valid and has been held for a while. */
        public boolean isSettled(int part, long now) {
            return hasLease(part, now) && now >= heldSinceByPart[part] + SETTLED_AFTER_MICROS;
        }

        /** Whether the lease at a part is valid. */
        public boolean hasLease(int part, long now) {
            return now < leaseEnds[part];
        }

        /** When the lease at a part ends or ended. */
        public long leaseEnd(int part) {
            return leaseEnds[part];
        }
    }

    private final Port port;
    private final NodeDirectory directory;
    private final CoreClient coreClient;
    private final TimingProfile timing;
    private final PartLease[] partLeases = new PartLease[Parts.PART_COUNT];
    private final TopicTable topics;
    private final LeaseRenewer renewer;
    private final IncarnationClaim incarnationClaim;
    private boolean isLeaving;
    private boolean markedUnready;
    private volatile CoreView view;

    /** Creates the membership of a process with the standard timing. */
    public Membership(Port port, NodeDirectory directory, CoreClient coreClient) {
        this(port, directory, coreClient, TimingProfile.STANDARD);
    }

    /** Creates the membership of a process. */
    public Membership(Port port, NodeDirectory directory, CoreClient coreClient, TimingProfile timing) {
        this.timing = timing;
        this.port = port;
        this.directory = directory;
        this.coreClient = coreClient;
        incarnationClaim = new IncarnationClaim(directory);
        for (var part = 0; part < partLeases.length; part++) partLeases[part] = new PartLease();
        topics = new TopicTable(port, directory, coreClient, timing, part -> partLeases[part].members);
        renewer = new LeaseRenewer(port, directory, coreClient, timing, partLeases, topics);
        publishView();
    }

    /** The current view; replaced whenever something in it changes. */
    public CoreView view() {
        return view;
    }

    /**
     * Resets the leases for a newer generation of the core: drops leases, versions and leaders, but keeps the contents
     * of topics.
     */
    public synchronized void followCore() {
        for (var lease : partLeases) lease.reset();
        topics.resetVersions();
        for (var part = 0; part < partLeases.length; part++) coreClient.leader(part, null);
        publishView();
    }

    /** Sets where the signals that renewals carry come from, by part. */
    public synchronized void setSignalSource(IntFunction<List<CellSignal>> source) {
        renewer.setSignalSource(source);
    }

    /** The store believed to lead a part; null if it is unknown. */
    public Node leader(int part) {
        return coreClient.leader(part);
    }

    /** Whether another process has taken over the name of this one, which must stop. */
    public synchronized boolean isSuperseded() {
        return incarnationClaim.isSuperseded();
    }

    /** Whether all leases are held and all topics are current. */
    public synchronized boolean isCurrent() {
        for (var lease : partLeases) if (!lease.held) return false;
        return topics.isCurrent();
    }

    /** Marks a router as no longer serving, ahead of a planned stop, and tells the core at once. */
    public synchronized void stopServing() {
        markedUnready = true;
        updateServing();
        for (var lease : partLeases) lease.nextRenewalAt = 0;
        directory.greetAtNextTick();
    }

    /** Marks a router as serving once it has been current, until it is marked as unready. */
    private void updateServing() {
        var serving = !markedUnready && (directory.self().serving || isCurrent());
        var self = directory.self();
        if (!self.isRouter() || self.serving == serving) return;
        directory.setServing(serving);
        if (timing.lowTraffic()) for (var lease : partLeases) lease.nextRenewalAt = 0;
    }

    /**
     * Whether this process may take requests: it has a manifest, and its lease at the manifest part ended at most a
     * lease, or its grace, ago.
     */
    public boolean isUsable(long now) {
        var currentView = view;
        return currentView.manifest() != null
                && now < currentView.leaseEnd(Parts.MANIFEST_PART) + Math.max(LEASE_MICROS, currentView.graceMicros());
    }

    /** Gives up all leases and tells the leaders. */
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

    /** Detects lapsed leases, sends due renewals and renews subscriptions. */
    public synchronized void tick(long now) {
        if (incarnationClaim.isSuperseded() || isLeaving || directory.self().coreId == 0) return;
        updateServing();
        for (var part = 0; part < partLeases.length; part++) {
            var lease = partLeases[part];
            if (lease.held && now >= lease.validUntil) {
                lease.held = false;
                port.logEvent(Event.LEASE_LAPSED, "part " + part);
            }
        }
        sendDueRenewals(now);
        topics.renewSubscriptions(now);
    }

    /** Sends due renewals, if this process belongs to a core and has not been superseded. */
    private void sendDueRenewals(long now) {
        if (!incarnationClaim.isSuperseded() && directory.self().coreId != 0) renewer.sendDue(now);
    }

    /** Handles the replies to the renewals that were sent in one message. */
    public synchronized void receive(RenewalReplies replies, long now) {
        for (var reply : replies.parts) {
            reply.sentAt = replies.sentAt;
            if (reply.incarnation == 0) reply.incarnation = replies.incarnation;
            if (reply.kind == 0) {
                reply.leader = replies.leader;
                reply.graceMicros = replies.graceMicros;
            }
            receive(reply, now);
        }
        if (isLeaving) return;
        updateServing();
        sendDueRenewals(now);
    }

    /** Handles the reply of a part to a renewal. */
    public synchronized void receive(RenewalReply reply, long now) {
        if (reply.part < 0 || reply.part >= partLeases.length) return;
        var lease = partLeases[reply.part];
        if (reply.kind == ProblemKind.NOT_OWNER.code()) {
            handleNotLeader(reply, lease, now);
            return;
        }
        lease.unansweredRenewals = 0;
        if (reply.kind == ProblemKind.STALE_MEMBER.code()) {
            if (!isLeaving && incarnationClaim.handleRefusal(reply))
                for (var other : partLeases) other.nextRenewalAt = now;
            return;
        }
        if (reply.kind != 0 || reply.incarnation != directory.self().incarnation) return;
        incarnationClaim.recordGrant(reply.part);
        if (reply.leader != null) coreClient.leader(reply.part, reply.leader);
        for (var i = 0; i < reply.topics.size(); i++)
            topics.recordAdvertisedVersion(reply.topics.get(i), reply.versions.get(i), now);
        if (reply.members != null) {
            lease.membersVersion = reply.membersVersion;
            lease.members = List.copyOf(reply.members);
            reply.members.forEach(member -> directory.learnNode(member, now));
        }
        lease.offeredUntil = Math.max(lease.offeredUntil, reply.sentAt + LEASE_MICROS);
        lease.offeredGrace = reply.graceMicros;
        if (timing.lowTraffic() && lease.nextRenewalAt > now)
            lease.nextRenewalAt = renewer.isCurrent(reply.part)
                    ? now + renewer.delayToNextRenewal(now)
                    : now + LeaseRenewer.SEARCH_INTERVAL_MICROS;
        acceptOffer(reply.part, now);
    }

    /**
     * Handles the reply of a store that does not lead: renews soon at the leader that it names, if it is not yet known.
     */
    private void handleNotLeader(RenewalReply reply, PartLease lease, long now) {
        lease.unansweredRenewals =
                Math.min(lease.unansweredRenewals, timing.lowTraffic() ? LeaseRenewer.MAX_UNANSWERED_RENEWALS : 0);
        if (lease.sentToAllStores) {
            directory.learnNode(reply.leader, now);
            return;
        }
        var previous = coreClient.leader(reply.part);
        coreClient.leader(reply.part, reply.leader);
        if (reply.leader == null || previous != null && previous.name.equals(reply.leader.name)) return;
        lease.unansweredRenewals = 0;
        lease.nextRenewalAt =
                Math.min(lease.nextRenewalAt, timing.lowTraffic() ? now : now + LEADER_CHANGE_RETRY_MICROS);
    }

    /** Accepts the lease that the leader granted, if it is longer and the topics of the part are current enough. */
    private void acceptOffer(int part, long now) {
        var lease = partLeases[part];
        if (lease.offeredUntil <= lease.validUntil || topics.isTooFarBehind(part, lease.held, now)) return;
        if (!lease.held && now < lease.offeredUntil) {
            lease.held = true;
            lease.heldSince = now;
            port.logEvent(Event.LEASE_ACQUIRED, "part " + part);
        }
        lease.acceptOffer();
        publishView();
    }

    /** Handles a subscription of another router. */
    public synchronized void receive(Subscription subscription, long now) {
        topics.addSubscriber(subscription, now);
    }

    /** Handles a new version of a topic, and accepts a lease that waited for it. */
    public synchronized void receive(TopicUpdate update, long now) {
        if (!topics.accept(update)) return;
        if (update.topic.equals(Parts.MANIFEST_TOPIC)) renewPartsWithUnknownTopics();
        publishView();
        partLeases[Parts.partOf(update.topic)].nextRenewalAt = now;
        acceptOffer(Parts.partOf(update.topic), now);
        if (!timing.lowTraffic() && !isLeaving) sendDueRenewals(now);
        topics.takeDeferredUpdates().forEach(deferred -> receive(deferred, now));
    }

    /** Renews at once at the parts that hold services which the manifest names and this process does not know yet. */
    private void renewPartsWithUnknownTopics() {
        for (var part = 0; part < partLeases.length; part++)
            if (topics.hasUnknownTopic(part)) partLeases[part].nextRenewalAt = 0;
    }

    /** Replaces the view. */
    private void publishView() {
        var leaseEnds = new long[partLeases.length];
        var heldSince = new long[partLeases.length];
        var members = new ArrayList<List<Node>>();
        var manifest = topics.manifest();
        var grace = manifest == null ? 0 : manifest.lapsedLeaseGrace();
        for (var part = 0; part < leaseEnds.length; part++) {
            leaseEnds[part] = partLeases[part].validUntil;
            heldSince[part] = partLeases[part].heldSince;
            members.add(partLeases[part].members);
            grace = Math.min(grace, partLeases[part].grace);
        }
        view = new CoreView(topics.manifestTopic(), manifest, topics.services(), leaseEnds, members, grace, heldSince);
    }
}
