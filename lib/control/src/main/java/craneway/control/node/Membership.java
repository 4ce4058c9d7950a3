package craneway.control.node;

import craneway.model.event.Event;
import craneway.model.manifest.Manifest;
import craneway.model.problem.ProblemKind;
import craneway.model.unit.Parts;
import craneway.model.unit.TimingProfile;
import craneway.state.message.Messages.TopicUpdate;
import craneway.state.message.Messages.RenewalReplies;
import craneway.state.message.Messages.RenewalReply;
import craneway.state.message.Messages.CellSignal;
import craneway.state.message.Messages.Subscription;
import craneway.state.message.Node;
import craneway.state.record.Rows;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;

public final class Membership {
    public static final long LEASE_MICROS = 2_000_000, SETTLED_AFTER_MICROS = 1_500_000;
    private static final long SOON = 20_000;

    /** What the rest of a process sees of the core: the news it follows and the ends of its leases. */
    public record CoreView(
            Rows.Manifest manifestRow,
            Manifest manifest,
            Map<String, Rows.Service> services,
            long[] leaseEnds,
            List<List<Node>> membersByPart,
            long graceMicros,
            long[] heldSinceByPart) {
        public boolean isSettled(int part, long now) {
            return hasLease(part, now) && now >= heldSinceByPart[part] + SETTLED_AFTER_MICROS;
        }

        public boolean hasLease(int part, long now) {
            return now < leaseEnds[part];
        }

        public long leaseEnd(int part) {
            return leaseEnds[part];
        }
    }

    private final Port port;
    private final NodeDirectory directory;
    private final CoreClient coreClient;
    private final TimingProfile timing;
    private final PartLease[] leases = new PartLease[Parts.COUNT];
    private final TopicTable topics;
    private final LeaseRenewer renewer;
    private final LifeClaim claim;
    private boolean leaving;
    private boolean stopServing;
    private volatile CoreView view;

    public Membership(Port port, NodeDirectory directory, CoreClient coreClient) {
        this(port, directory, coreClient, TimingProfile.STANDARD);
    }

    public Membership(Port port, NodeDirectory directory, CoreClient coreClient, TimingProfile timing) {
        this.timing = timing;
        this.port = port;
        this.directory = directory;
        this.coreClient = coreClient;
        claim = new LifeClaim(directory);
        for (var i = 0; i < leases.length; i++) leases[i] = new PartLease();
        topics = new TopicTable(port, directory, coreClient, timing, part -> leases[part].members);
        renewer = new LeaseRenewer(port, directory, coreClient, timing, leases, topics);
        publish();
    }

    public CoreView view() {
        return view;
    }

    public synchronized void followCore() {
        for (var l : leases) l.forget();
        topics.forget();
        for (var p = 0; p < leases.length; p++) coreClient.leader(p, null);
        publish();
    }

    public synchronized void setSignalSource(IntFunction<List<CellSignal>> from) {
        renewer.signals(from);
    }

    public Node leader(int part) {
        return coreClient.leader(part);
    }

    public synchronized boolean isSuperseded() {
        return claim.superseded();
    }

    public synchronized boolean isCurrent() {
        for (var l : leases) if (!l.held) return false;
        return topics.current();
    }

    public synchronized void stopServing() {
        stopServing = true;
        updateServing();
        for (var l : leases) l.due = 0;
        directory.greetAtNextTick();
    }

    private void updateServing() {
        var is = !stopServing && (directory.self().serving || isCurrent());
        var self = directory.self();
        if (!self.isRouter() || self.serving == is) return;
        directory.setServing(is);
        if (timing.lowTraffic()) for (var l : leases) l.due = 0;
    }

    public boolean isUsable(long now) {
        var v = view;
        return v.manifest() != null && now < v.leaseEnd(Parts.MANIFEST_PART) + Math.max(LEASE_MICROS, v.graceMicros());
    }

    public synchronized void leave(long now) {
        leaving = true;
        renewer.leave();
        for (var p = 0; p < leases.length; p++) {
            leases[p].until = now;
            leases[p].due = now;
        }
        renewDue(now);
        publish();
    }

    public synchronized void tick(long now) {
        if (claim.superseded() || leaving || directory.self().coreId == 0) return;
        updateServing();
        for (var p = 0; p < leases.length; p++) {
            var l = leases[p];
            if (l.held && now >= l.until) {
                l.held = false;
                port.logEvent(Event.LEASE_LAPSED, "part " + p);
            }
        }
        renewDue(now);
        topics.follow(now);
    }

    private void renewDue(long now) {
        if (!claim.superseded() && directory.self().coreId != 0) renewer.send(now);
    }

    public synchronized void receive(RenewalReplies all, long now) {
        for (var v : all.parts) {
            v.sentAt = all.sentAt;
            if (v.incarnation == 0) v.incarnation = all.incarnation;
            if (v.kind == 0) {
                v.leader = all.leader;
                v.graceMicros = all.graceMicros;
            }
            receive(v, now);
        }
        if (leaving) return;
        updateServing();
        renewDue(now);
    }

    public synchronized void receive(RenewalReply v, long now) {
        if (v.part < 0 || v.part >= leases.length) return;
        var l = leases[v.part];
        if (v.kind == ProblemKind.NOT_OWNER.code()) {
            notLeader(v, l, now);
            return;
        }
        l.unanswered = 0;
        if (v.kind == ProblemKind.STALE_MEMBER.code()) {
            if (!leaving && claim.refused(v)) for (var x : leases) x.due = now;
            return;
        }
        if (v.kind != 0 || v.incarnation != directory.self().incarnation) return;
        claim.granted(v.part);
        if (v.leader != null) coreClient.leader(v.part, v.leader);
        for (var i = 0; i < v.topics.size(); i++) topics.heard(v.topics.get(i), v.versions.get(i), now);
        if (v.members != null) {
            l.membersVersion = v.membersVersion;
            l.members = List.copyOf(v.members);
            v.members.forEach(n -> directory.learnNode(n, now));
        }
        l.offered = Math.max(l.offered, v.sentAt + LEASE_MICROS);
        l.offeredGrace = v.graceMicros;
        if (timing.lowTraffic() && l.due > now)
            l.due = renewer.current(v.part) ? now + renewer.pause(now) : now + LeaseRenewer.SEARCH;
        take(v.part, now);
    }

    private void notLeader(RenewalReply v, PartLease l, long now) {
        l.unanswered = Math.min(l.unanswered, timing.lowTraffic() ? LeaseRenewer.MAX_UNANSWERED : 0);
        if (l.spread) {
            directory.learnNode(v.leader, now);
            return;
        }
        var had = coreClient.leader(v.part);
        coreClient.leader(v.part, v.leader);
        if (v.leader == null || had != null && had.name.equals(v.leader.name)) return;
        l.unanswered = 0;
        l.due = Math.min(l.due, timing.lowTraffic() ? now : now + SOON);
    }

    private void take(int part, long now) {
        var l = leases[part];
        if (l.offered <= l.until || topics.tooFarBehind(part, l.held, now)) return;
        if (!l.held && now < l.offered) {
            l.held = true;
            l.heldSince = now;
            port.logEvent(Event.LEASE_ACQUIRED, "part " + part);
        }
        l.take();
        publish();
    }

    public synchronized void receive(Subscription s, long now) {
        topics.subscribe(s, now);
    }

    public synchronized void receive(TopicUpdate n, long now) {
        if (!topics.take(n)) return;
        if (n.topic.equals(Parts.MANIFEST_TOPIC)) renewUntold();
        publish();
        leases[Parts.partOf(n.topic)].due = now;
        take(Parts.partOf(n.topic), now);
        if (!timing.lowTraffic() && !leaving) renewDue(now);
        topics.waiting().forEach(x -> receive(x, now));
    }

    /** A manifest may name services of parts whose topics have never been told: these parts renew at once. */
    private void renewUntold() {
        for (var p = 0; p < leases.length; p++) if (topics.untold(p)) leases[p].due = 0;
    }

    private void publish() {
        var until = new long[leases.length];
        var since = new long[leases.length];
        var all = new ArrayList<List<Node>>();
        var manifest = topics.manifest();
        var grace = manifest == null ? 0 : manifest.lapsedLeaseGrace();
        for (var i = 0; i < until.length; i++) {
            until[i] = leases[i].until;
            since[i] = leases[i].heldSince;
            all.add(leases[i].members);
            grace = Math.min(grace, leases[i].grace);
        }
        view = new CoreView(topics.manifestTopic(), manifest, topics.services(), until, all, grace, since);
    }
}
