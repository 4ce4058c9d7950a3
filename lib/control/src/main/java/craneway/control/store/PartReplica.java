package craneway.control.store;

import craneway.control.node.NodeDirectory;
import craneway.control.node.Membership;
import craneway.control.node.Port;
import craneway.control.plan.UnitMover;
import craneway.control.plan.PressureRelief;
import craneway.control.plan.SignalHistory;
import craneway.control.plan.StepWatcher;
import craneway.model.event.Event;
import craneway.model.manifest.Manifest;
import craneway.model.manifest.ManifestReader;
import craneway.model.problem.ProblemKind;
import craneway.model.unit.Parts;
import craneway.model.unit.TimingProfile;
import craneway.state.disk.Folder;
import craneway.state.message.BadMessageException;
import craneway.state.message.Codec;
import craneway.state.message.Commands;
import craneway.state.message.Messages.CommandRequest;
import craneway.state.message.Messages.CommandResult;
import craneway.state.message.Messages.Join;
import craneway.state.message.Messages.TopicUpdate;
import craneway.state.message.Messages.Renewal;
import craneway.state.message.Messages.RenewalReply;
import craneway.state.message.Messages.Subscription;
import craneway.state.message.Node;
import craneway.state.message.Queries;
import craneway.state.part.Group;
import craneway.state.part.GroupListener;
import craneway.state.part.Members;
import craneway.state.part.PartMessage;
import craneway.state.record.Records;
import craneway.state.record.Rows;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;

public final class PartReplica implements GroupListener {
    private static final long SUBSCRIBED = 2_000_000, AGE = 1_000_000, JOIN_REQUEST_KEPT = 2_000_000;
    private static final long SYNCED = 3_000_000, GATHER = 3_500_000, IMPATIENT = 300_000, PUSHED = 150_000;
    private static final int BUFFER = 20_000;
    /** How long a leader rests after it looked through its members and runners, for each of them, and at most. */
    private static final long MEMBER = 250, RUNNER = 40, REST = 500_000;

    private record Waiting(long term, Consumer<CommandResult> then) {}

    private final int part;
    private final CoreSettings settings;
    private final Port port;
    private final NodeDirectory directory;
    private final Membership membership;
    private final Quorum quorum;
    private final TimingProfile timing;
    private final Executor executor;
    private final Group group;
    private final Records records = new Records();
    private final UnitMover mover = new UnitMover();
    private final StepWatcher watcher = new StepWatcher();
    private final PressureRelief pressure = new PressureRelief();
    private final SignalHistory signals = new SignalHistory();
    private final LoadHistory history = new LoadHistory();
    private final CommandFence fence = new CommandFence();
    private final ReentrantLock lock = new ReentrantLock();
    private final LinkedBlockingQueue<Runnable> buffer = new LinkedBlockingQueue<>(BUFFER);
    private final AtomicBoolean scheduled = new AtomicBoolean();
    private final Map<Long, Waiting> waiting = new HashMap<>();
    private final LeaseTable leases = new LeaseTable();
    private final Map<String, Long> runnersSeen = new HashMap<>();
    private final Map<String, Long> runnerSequences = new HashMap<>();
    private final Map<String, Integer> runnerLoads = new HashMap<>();
    private final Map<String, Map<String, Long>> subscribers = new HashMap<>();
    private final Map<String, Long> publishedVersions = new HashMap<>();
    private final Map<String, Long> publishedAt = new HashMap<>();
    private final Map<String, Long> pushedAt = new HashMap<>();
    private final Set<String> proposed = new HashSet<>();
    private final MembershipChanges changes;
    private final PlannedLeave leave = new PlannedLeave();
    private boolean closed;
    private long leaderSince;
    private long aged;
    private long membersDue;
    private long runnersDue;

    public PartReplica(
            int part,
            long self,
            Folder folder,
            Members first,
            Port port,
            NodeDirectory directory,
            Membership membership,
            StoreOptions rules,
            Random random) {
        quorum = rules.quorum();
        timing = rules.timing();
        executor = rules.executorByPart().apply(part);
        settings = rules.settings();
        this.part = part;
        this.port = port;
        this.directory = directory;
        this.membership = membership;
        this.group = new Group(
                part, self, directory.founding().originalCoreId(), folder, first, records, random, this, timing, port.now());
        changes = new MembershipChanges(self, quorum, timing, new Known());
    }

    public void enqueue(Runnable event) {
        if (buffer.offer(event) && scheduled.compareAndSet(false, true)) executor.execute(this::work);
    }

    private void work() {
        scheduled.set(false);
        while (!buffer.isEmpty() && lock.tryLock()) {
            try {
                if (closed) buffer.clear();
                for (var e = buffer.poll(); e != null; e = buffer.poll()) e.run();
                if (closed) return;
                group.syncAndSend(port.now());
                publishNews(port.now());
            } finally {
                lock.unlock();
            }
        }
    }

    public void close() {
        lock.lock();
        closed = true;
        lock.unlock();
    }

    public void tick() {
        enqueue(() -> tick(port.now()));
    }

    public void receive(PartMessage m) {
        enqueue(() -> group.receive(m, port.now()));
    }

    public void receive(CommandRequest a) {
        enqueue(() -> onCommandRequest(a, port.now()));
    }

    public void receive(Renewal r, Consumer<RenewalReply> then) {
        enqueue(() -> renew(r, port.now(), then));
    }

    public void receive(Subscription s) {
        enqueue(() -> subscribe(s, port.now()));
    }

    public void receive(Join j) {
        enqueue(() -> join(j, port.now()));
    }

    public void transferLeadership() {
        enqueue(() -> transferLeadership(port.now()));
    }

    /** Whether this store should ask to take part: it is no member, or its leader has been silent towards it. */
    public boolean shouldJoin(long now) {
        return !group.members().isMember(directory.self().storeId)
                || !group.hasLeaderContact(now, 2 * timing.electionTimeout());
    }

    public boolean isLeader() {
        return group.isReadyLeader();
    }

    public Group group() {
        return group;
    }

    public Records records() {
        return records;
    }

    @Override
    public void send(PartMessage m) {
        var to = directory.storeById(m.to);
        if (to != null) port.send(to.peerAddress, m);
    }

    @Override
    public void onApplied(long index, long term, Object result) {
        var w = waiting.remove(index);
        if (w == null) return;
        w.then.accept(
                w.term == term
                        ? (CommandResult) result
                        : Records.failure(ProblemKind.UNCERTAIN, "the part changed its leader"));
    }

    @Override
    public void onLeadershipChanged(boolean leads, long term) {
        port.logEvent(leads ? Event.LEADER : Event.LEADERSHIP_LOST, "part " + part + " term " + term);
        fence.reset();
        leases.clear(port.now());
        runnersSeen.clear();
        runnerSequences.clear();
        runnerLoads.clear();
        publishedVersions.clear();
        publishedAt.clear();
        pushedAt.clear();
        proposed.clear();
        mover.reset();
        watcher.reset();
        pressure.reset(port.now());
        signals.clear();
        history.clear();
        leaderSince = aged = membersDue = runnersDue = port.now();
        if (leads) return;
        var all = List.copyOf(waiting.values());
        waiting.clear();
        all.forEach(w -> w.then.accept(Records.failure(ProblemKind.UNCERTAIN, ProblemKind.UNCERTAIN.text())));
    }

    @Override
    public void logEvent(Event e, String detail) {
        port.logEvent(e, detail);
    }

    private void tick(long now) {
        group.tick(now);
        if (!group.hasLease(now)) return;
        if (now >= membersDue) {
            watchMembers(now);
            membersDue = now + Math.min(REST, MEMBER * records.rows().members.size());
        }
        adjustMembers(now);
        age(now);
        syncServices();
        if (now >= runnersDue) {
            watchRunners(now);
            move(now);
            runnersDue = now
                    + Math.min(
                            REST,
                            RUNNER
                                    * records.rows().services.values().stream()
                                            .mapToLong(s -> s.runners.size())
                                            .sum());
        }
        balanceLeaders(now);
    }

    private Node otherLeader() {
        var id = group.leaderId();
        return id == 0 || id == directory.self().storeId ? null : directory.storeById(id);
    }

    private void propose(Object command, Consumer<CommandResult> then) {
        var i = group.propose(Codec.encodeTagged(command), port.now());
        if (i < 0) {
            then.accept(Records.failure(ProblemKind.NOT_OWNER, ""));
        } else {
            waiting.put(i, new Waiting(group.term(), then));
        }
    }

    private void propose(Object command) {
        propose(command, v -> {});
    }

    private void onCommandRequest(CommandRequest a, long now) {
        if (!group.hasLease(now)) {
            var v = Records.failure(ProblemKind.NOT_OWNER, "");
            v.leader = otherLeader();
            reply(a, v);
            return;
        }
        if (a.sessionId != 0 && a.body != null && a.body.length == 0) {
            decline(a, ProblemKind.LATE_COMMAND);
            return;
        }
        try {
            decide(a, Codec.decodeTagged(a.body), now);
        } catch (BadMessageException e) {
            port.logEvent(Event.BAD_MESSAGE, e.getMessage());
            reply(a, Records.failure(ProblemKind.BAD_MESSAGE, e.getMessage()));
        }
    }

    private void decide(CommandRequest a, Object body, long now) {
        if (a.sessionId == 0 || !Commands.isCommand(body)) {
            dispatch(a, body, now);
            return;
        }
        var ruling = fence.rule(a, group.term(), now);
        var first = records.recordedResult(a.sessionId, a.id);
        if (ruling == CommandFence.Ruling.TAKEN && first != null) {
            reply(a, first);
            return;
        }
        var order = body instanceof Commands.ZoneMark mark ? mark : null;
        if (ruling == CommandFence.Ruling.TAKEN && order != null && fence.overtaken(order.zone, a.leaderDeadline))
            ruling = CommandFence.Ruling.LATE;
        if (ruling == CommandFence.Ruling.TAKEN) dispatch(a, body, now);
        else {
            var late = ruling == CommandFence.Ruling.LATE;
            if (a.leaderTerm != 0) port.logEvent(late ? Event.LATE_COMMAND : Event.UNKNOWN_INSTANCE, describe(a, body));
            decline(a, late ? ProblemKind.LATE_COMMAND : ProblemKind.UNKNOWN_LIFE);
        }
    }

    private String describe(CommandRequest a, Object body) {
        return body.getClass().getSimpleName() + " of " + a.from.name + " life " + Long.toHexString(a.sessionId) + " ask "
                + a.id + " term " + a.leaderTerm + ", at part " + part + " term " + group.term();
    }

    /** Refuses a command without effect; its sender learns the leader's clock and may ask anew within its patience. */
    private void decline(CommandRequest a, ProblemKind kind) {
        fence.tell(a.sessionId);
        reply(a, Records.failure(kind, kind.text()));
    }

    private void reply(CommandRequest a, CommandResult v) {
        var r = new CommandResult();
        r.id = a.id;
        r.kind = v.kind;
        r.detail = v.detail;
        r.retryAfterMicros = v.retryAfterMicros;
        r.leader = v.leader;
        r.version = v.version;
        r.body = v.body;
        r.sessionId = a.sessionId;
        if (a.sessionId != 0 && group.isReadyLeader()) {
            r.leaderTerm = group.term();
            r.leaderClock = port.now();
        }
        port.send(a.from.peerAddress, r);
    }

    private void dispatch(CommandRequest a, Object body, long now) {
        if (body instanceof Queries.Status) reply(a, status());
        else if (body instanceof Queries.ManifestGet) reply(a, withBody(records.rows().manifest));
        else if (body instanceof Queries.RolloutGet q) reply(a, rolloutStatus(q, now));
        else if (body instanceof Queries.PlanGet q) reply(a, plan(q));
        else if (body instanceof Commands.ManifestPut c) putManifest(a, c);
        else if (body instanceof Commands.RunnerPut c) putRunner(a, c, now);
        else if (body instanceof Commands.RunnerLeft c && !knows(c.runner)) reply(a, Records.ok());
        else proposeFor(a, body, v -> reply(a, v));
    }

    private void proposeFor(CommandRequest a, Object command, Consumer<CommandResult> then) {
        propose(allFenced() ? CommandFence.identified(a, command, a.body) : command, then);
    }

    /** Whether each member, and so each replica, reads commands under an identity. */
    private boolean allFenced() {
        var all = records.rows().members.values();
        return !all.isEmpty() && all.stream().allMatch(m -> m.node.supportsIdentifiedCommands);
    }

    private boolean knows(String runner) {
        return records.rows().services.values().stream()
                .map(s -> s.runners.get(runner))
                .anyMatch(r -> r != null && r.state != Rows.Runner.LEAVING);
    }

    private static CommandResult withBody(Object o) {
        var v = Records.ok();
        v.body = Codec.encode(o);
        return v;
    }

    private CommandResult plan(Queries.PlanGet q) {
        var p = records.rows().plans.get(q.plan);
        return p == null ? Records.failure(ProblemKind.UNKNOWN_PLAN, "no plan " + q.plan) : withBody(p);
    }

    private void putManifest(CommandRequest a, Commands.ManifestPut c) {
        var m = c.senderNumber > 0 ? null : ManifestReader.read(c.text);
        if (m != null && m.isLeft())
            reply(a, Records.failure(m.getLeft().kind(), m.getLeft().detail()));
        else proposeFor(a, c, v -> reply(a, v));
    }

    private void putRunner(CommandRequest a, Commands.RunnerPut c, long now) {
        var s = records.rows().services.get(c.service);
        var r = s == null ? null : s.runners.get(c.runner);
        var k = c.service + "/" + c.runner;
        var late = c.sequence < runnerSequences.getOrDefault(k, 0L) && c.state == Rows.Runner.UP;
        if (late) {
            reply(a, Records.ok());
            return;
        }
        var same = r != null
                && r.state == c.state
                && (r.isUp() || r.state == Rows.Runner.LEAVING)
                && r.incarnation == c.incarnation
                && r.cold == c.cold
                && r.slots == c.slots
                && r.cell.equals(c.cell)
                && r.address.equals(c.address);
        if (r == null || c.incarnation >= r.incarnation) {
            runnersSeen.put(k, now);
            runnerSequences.merge(k, c.sequence, Math::max);
            runnerLoads.put(k, c.load);
        }
        var cell = s == null ? -1 : s.cells.indexOf(c.cell);
        if (s == null) reply(a, Records.failure(ProblemKind.UNKNOWN_SERVICE, "no service " + c.service));
        else if (cell < 0 || !s.hasWeight(cell))
            reply(a, Records.failure(ProblemKind.BAD_FIELD, "service " + c.service + " has no cell " + c.cell));
        else if (same) reply(a, Records.ok());
        else
            proposeFor(a, c, v -> {
                if (v.kind == 0)
                    port.logEvent(
                            c.state == Rows.Runner.UP ? Event.RUNNER_UP : Event.RUNNER_LEAVING,
                            c.runner + " incarnation " + c.incarnation + (c.cold ? " cold" : ""));
                reply(a, v);
            });
    }

    private CommandResult status() {
        var s = new PartStatus();
        s.part = part;
        s.leader = directory.self().name;
        s.term = group.term();
        s.appliedIndex = group.appliedIndex();
        var m = group.members();
        for (var i = 0; i < m.voters.length; i++) s.groupMembers.add(storeName(m.voters[i]) + " (" + m.zones[i] + ")");
        if (m.learnerId != 0) s.groupMembers.add(storeName(m.learnerId) + " (" + m.learnerZone + ", learner)");
        s.members.addAll(records.rows().members.values());
        s.services.addAll(records.rows().services.values());
        s.plans.addAll(records.rows().plans.values());
        s.manifest = records.rows().manifest;
        s.loadByRunner.putAll(runnerLoads);
        for (var n : records.rows().services.keySet()) {
            var p = new PartStatus.LoadPeaks();
            p.service = n;
            p.peakByMinute = history.newestFirst(n);
            s.peaks.add(p);
        }
        s.claimCount = records.rows().claims.size();
        return withBody(s);
    }

    private String storeName(long id) {
        var n = directory.storeById(id);
        return n == null ? "unreached" : n.name;
    }

    private CommandResult rolloutStatus(Queries.RolloutGet q, long now) {
        var s = new RolloutStatus();
        for (var m : records.rows().members.values()) {
            var have = leases.version(m.node.name, Parts.MANIFEST_TOPIC);
            if (have >= q.version && !m.lapsed && !leases.earlierMayAct(m.node, now)) continue;
            s.unconfirmedMembers.add(m.node.name);
            var grace = q.zone.isEmpty() || m.node.zone.equals(q.zone) ? m.node.graceMicros : 0;
            if (m.node.isRouter() && leases.mayAct(m.node, grace, now)) s.routersStillActing.add(m.node.name);
        }
        return withBody(s);
    }

    private void renew(Renewal r, long now, Consumer<RenewalReply> then) {
        if (!group.hasLease(now)) {
            var v = reply(r, ProblemKind.NOT_OWNER.code());
            v.leader = otherLeader();
            then.accept(v);
            return;
        }
        if (!r.leaving) push(r, now);
        var m = records.rows().members.get(r.from.name);
        if (m != null) directory.recordReplacement(m.node, r.from);
        var standing = outranking(r.from, m);
        if (standing != null) {
            var v = reply(r, ProblemKind.STALE_MEMBER.code());
            v.incarnation = standing.incarnation;
            v.recordedMember = standing;
            then.accept(v);
        } else if (r.leaving) {
            leave(r, m);
        } else if (m == null
                || m.lapsed
                || m.node.incarnation != r.from.incarnation
                || !m.node.peerAddress.equals(r.from.peerAddress)
                || m.node.serving != r.from.serving
                || m.node.graceMicros != r.from.graceMicros
                || m.node.wireVersion != r.from.wireVersion
                || m.node.supportsIdentifiedCommands != r.from.supportsIdentifiedCommands
                || !m.node.clientAddress.equals(r.from.clientAddress)) {
            var c = new Commands.MemberPut();
            c.node = r.from;
            propose(c, x -> {
                if (x.kind == 0) renewed(r, port.now(), then);
            });
        } else {
            renewed(r, now, then);
        }
    }

    /** The life of this name that a renewal would have to outrank: the one on record, else one that this store has heard. */
    private Node outranking(Node from, Rows.Member m) {
        var n = m != null ? m.node : from.sessionId == 0 ? null : directory.nodeByName(from.name);
        if (n == null) return null;
        var later = n.incarnation > from.incarnation;
        return later || m != null && n.incarnation == from.incarnation && n.isOtherSession(from) ? n : null;
    }

    private void leave(Renewal r, Rows.Member m) {
        if (m == null) return;
        var c = new Commands.MemberRemoved();
        c.name = r.from.name;
        c.incarnation = r.from.incarnation;
        propose(c);
    }

    private RenewalReply reply(Renewal r, int kind) {
        var v = new RenewalReply();
        v.part = part;
        v.kind = kind;
        v.incarnation = r.from.incarnation;
        v.sentAt = r.sentAt;
        return v;
    }

    /** Sends the news of a topic to whoever has nothing of it yet, or has been behind for long. */
    private void push(Renewal r, long now) {
        pushedAt.values().removeIf(at -> now - at > PUSHED);
        for (var t : topicNames()) {
            var i = r.topics.indexOf(t);
            var have = i < 0 ? 0 : r.versions.get(i);
            if (i < 0 && r.membersVersion >= 0
                    || have >= version(t)
                    || have > 0 && now - publishedAt.getOrDefault(t, leaderSince) < IMPATIENT) continue;
            if (pushedAt.putIfAbsent(r.from.peerAddress + " " + t, now) == null) port.send(r.from.peerAddress, news(t));
        }
    }

    private void renewed(Renewal r, long now, Consumer<RenewalReply> then) {
        leases.renewed(r, now);
        for (var g : r.signals) signals.add(g.service, g.cell, g.startedAnswers, g.failures, g.firstTokenMicros, now);
        var v = reply(r, 0);
        v.leader = directory.self();
        v.graceMicros = r.from.graceMicros;
        v.membersVersion = records.rows().membersVersion;
        if (v.membersVersion != r.membersVersion)
            v.members = new ArrayList<>(records.rows().members.values().stream()
                    .filter(m -> !m.lapsed)
                    .map(m -> m.node)
                    .toList());
        for (var t : topicNames()) {
            var i = r.topics.indexOf(t);
            if (timing.lowTraffic() && i >= 0 && r.versions.get(i) == version(t)) continue;
            v.topics.add(t);
            v.versions.add(version(t));
        }
        then.accept(v);
    }

    private List<String> topicNames() {
        var all = new ArrayList<>(records.rows().services.keySet());
        if (part == Parts.MANIFEST_PART) all.add(Parts.MANIFEST_TOPIC);
        return all;
    }

    private long version(String topic) {
        if (topic.equals(Parts.MANIFEST_TOPIC)) return records.rows().manifest.topicVersion;
        var s = records.rows().services.get(topic);
        return s == null ? 0 : s.topicVersion;
    }

    private TopicUpdate news(String topic) {
        var n = new TopicUpdate();
        n.topic = topic;
        n.version = version(topic);
        n.body = Codec.encode(
                topic.equals(Parts.MANIFEST_TOPIC)
                        ? records.rows().manifest.copyForPublication()
                        : records.rows().services.get(topic));
        return n;
    }

    private void subscribe(Subscription s, long now) {
        if (!group.hasLease(now) || version(s.topic) == 0) return;
        subscribers.computeIfAbsent(s.topic, k -> new HashMap<>()).put(s.from.peerAddress, now);
        if (version(s.topic) > s.knownVersion) port.send(s.from.peerAddress, news(s.topic));
    }

    private void publishNews(long now) {
        if (!group.hasLease(now)) return;
        for (var t : topicNames()) {
            var v = version(t);
            if (publishedVersions.getOrDefault(t, 0L) >= v) continue;
            publishedVersions.put(t, v);
            publishedAt.put(t, now);
            var all = subscribers.getOrDefault(t, Map.of());
            all.values().removeIf(at -> now - at > SUBSCRIBED);
            if (all.isEmpty()) continue;
            var n = news(t);
            all.keySet().forEach(a -> port.send(a, n));
        }
    }

    private void watchMembers(long now) {
        for (var m : List.copyOf(records.rows().members.values())) {
            if (!m.lapsed && leases.lapsed(m.node, now)) lapse(m);
            else if (m.lapsed && leases.forgotten(m.node, now)) forget(m);
        }
    }

    private void lapse(Rows.Member m) {
        var c = new Commands.MemberLapsed();
        c.name = m.node.name;
        c.incarnation = m.node.incarnation;
        if (proposedOnce("lapse/" + c.name + "/" + c.incarnation)) return;
        port.logEvent(Event.MEMBER_LEASE_LAPSED, m.node.name + " at part " + part);
        propose(c, v -> proposed.remove("lapse/" + c.name + "/" + c.incarnation));
    }

    private void forget(Rows.Member m) {
        var c = new Commands.MemberRemoved();
        c.name = m.node.name;
        c.incarnation = m.node.incarnation;
        if (proposedOnce("gone/" + c.name)) return;
        propose(c, v -> proposed.remove("gone/" + c.name));
    }

    private boolean proposedOnce(String key) {
        return !proposed.add(key);
    }

    private void watchRunners(long now) {
        for (var s : records.rows().services.values())
            for (var r : s.runners.values()) {
                var k = s.name + "/" + r.name;
                var seen = runnersSeen.computeIfAbsent(k, x -> now);
                if (!r.isUp() || now - seen <= settings.darkAfterMicros() || proposedOnce("dark/" + k)) continue;
                var c = new Commands.RunnerMark();
                c.service = s.name;
                c.runner = r.name;
                c.incarnation = r.incarnation;
                c.state = Rows.Runner.DARK;
                port.logEvent(Event.RUNNER_DARK, k);
                propose(c, v -> proposed.remove("dark/" + k));
            }
    }

    private void join(Join j, long now) {
        if (j.isReply) leave.answered(j.mayStop, now);
        else if (group.hasLease(now) && j.leaving) leaveAsked(j, now);
        else if (group.hasLease(now) && !group.members().isMember(j.from.storeId))
            changes.requestJoin(j.from.storeId, j.from.zone, now + JOIN_REQUEST_KEPT);
    }

    private void leaveAsked(Join j, long now) {
        changes.announceLeave(j.from.storeId, now + JOIN_REQUEST_KEPT);
        var a = new Join();
        a.part = part;
        a.from = directory.self();
        a.isReply = true;
        a.mayStop = changes.mayLeave(j.from.storeId, group.members(), leaderSince, now);
        port.send(j.from.peerAddress, a);
    }

    /** Whether this store, which has been stopping since then, is still needed here. */
    public boolean isNeeded(long since, long now) {
        return leave.needed(since, group.isReadyLeader(), group.hasLeaderContact(now, 2 * timing.electionTimeout()), now);
    }

    private void adjustMembers(long now) {
        changes.nextChange(group.members(), leaderSince, now).ifPresent(next -> group.changeMembers(next, now));
    }

    /** What this leader knows of the other stores of its part. */
    private final class Known implements MembershipChanges.StoreStatus {
        @Override
        public boolean isDiskLost(long store) {
            return directory.isDiskLost(store);
        }

        @Override
        public long lastHeardAt(long store) {
            return group.lastHeardAt(store);
        }

        @Override
        public boolean isCaughtUp(long store) {
            return group.isCaughtUp(store, port.now());
        }

        @Override
        public boolean holdsAllEntries(long store) {
            return group.matchIndexOf(store) >= group.lastIndex();
        }
    }

    private static long voterIn(Members m, String zone) {
        for (var i = 0; i < m.voters.length; i++) if (m.zones[i].equals(zone)) return m.voters[i];
        return 0;
    }

    private void age(long now) {
        if (now - aged < AGE) return;
        var r = records.rows();
        var held = r.services.values().stream().anyMatch(s -> !s.heldBackUntilAge.isEmpty());
        var ended = settings.forgetAfterMicros() > 0
                && r.services.values().stream()
                        .anyMatch(s -> s.runners.values().stream().anyMatch(x -> !x.isUp()));
        if (held || ended || r.claimsLost || !r.claims.isEmpty() || !r.quotas.isEmpty()) {
            var c = new Commands.AgeAdvance();
            c.elapsedMicros = now - aged;
            c.runnerRetentionMicros = settings.forgetAfterMicros();
            var m = membership.view().manifest();
            c.claimRetentionMicros = m == null ? 86_400_000_000L : m.claimRetention();
            propose(c);
        }
        aged = now;
    }

    private void syncServices() {
        var v = membership.view();
        if (v.manifest() == null || part == Parts.MANIFEST_PART) return;
        for (var s : v.manifest().services().values()) {
            if (Parts.partOf(s.name()) != part) continue;
            var row = records.rows().services.get(s.name());
            if (row != null && row.manifestVersion >= v.manifestRow().version || proposedOnce("sync/" + s.name())) continue;
            propose(serviceSync(s, v.manifest(), v.manifestRow().version), x -> proposed.remove("sync/" + s.name()));
        }
    }

    private static Commands.ServiceSync serviceSync(Manifest.Service s, Manifest m, long version) {
        var c = new Commands.ServiceSync();
        c.service = s.name();
        c.manifestVersion = version;
        c.weighedBySlots = s.weightedBySlots();
        c.boundRegionSets.addAll(m.routes().regionSetsOf(s.name()));
        c.regions.addAll(m.regions());
        for (var x : s.cells()) {
            c.cells.add(x.name());
            c.zones.add(x.zone());
            c.cellRegions.add(m.regionOfZone(x.zone()));
            c.weights.add(x.weight());
        }
        return c;
    }

    private void move(long now) {
        var v = membership.view();
        if (v.manifest() == null) return;
        for (var s : records.rows().services.values()) {
            history.see(s.name, load(s), now);
            if (proposed.contains("step/" + s.name)) continue;
            var step = next(s, v, now);
            if (step == null) continue;
            proposed.add("step/" + s.name);
            propose(step, x -> {
                proposed.remove("step/" + s.name);
                if (x.kind == 0) noteStep(s.name, step);
            });
        }
    }

    private int load(Rows.Service s) {
        return s.runners.values().stream()
                .filter(Rows.Runner::isUp)
                .mapToInt(r -> runnerLoads.getOrDefault(s.name + "/" + r.name, 0))
                .sum();
    }

    private Object next(Rows.Service s, Membership.CoreView v, long now) {
        var open = mover.openCells(s, v.manifestRow().marks, now);
        var judged = watcher.nextVerdict(s, signals, open, now);
        if (judged != null) return judged;
        var step =
                mover.nextStep(s, v.manifest().service(s.name), v.manifestRow().marks, (c, i) -> storeSynced(s, c, i, now), now);
        if (lowestWire() < Node.STEPS_WIRE_VERSION) return step instanceof Commands.StepAsk a ? UnitMover.toTableStep(a) : step;
        return step != null ? step : pressure.nextDisplacement(s, runnerLoads, open, now);
    }

    private int lowestWire() {
        return records.rows().members.values().stream()
                .mapToInt(m -> m.node.wireVersion)
                .min()
                .orElse(0);
    }

    private void noteStep(String service, Object step) {
        var s = records.rows().services.get(service);
        if (step instanceof Commands.UnitDisplacement d)
            port.logEvent(
                    Event.CELL_LOAD_CHANGED,
                    service + " " + d.units.length + " units "
                            + (d.cells[0] < 0 ? "may go back" : "to " + s.cells.get(d.cells[0])));
        if (!(step instanceof Commands.StepMark m)) return;
        var x = s.findStep(m.id);
        var text = service + " step " + x.id + " " + x.units.length + " units to " + s.cells.get(x.toCell) + ": "
                + x.stateName() + ", " + x.cause + ", table version " + s.tableVersion;
        port.logEvent(
                m.state == Rows.Step.TAKEN_BACK || m.state == Rows.Step.DROPPED ? Event.MOVE_STEP_CANCELLED : Event.MOVE_STEP,
                text);
    }

    private boolean storeSynced(Rows.Service s, int cell, long index, long now) {
        var id = voterIn(group.members(), s.zones.get(cell));
        return id == 0
                || id == directory.self().storeId
                || now - group.lastHeardAt(id) > SYNCED
                || group.matchIndexOf(id) >= index;
    }

    private void balanceLeaders(long now) {
        if (now - leaderSince < (timing.lowTraffic() ? GATHER : timing.leaderSettleTime())) return;
        var m = group.members();
        var to = preferredLeader(m);
        if (changes.canTakeLeadership(to, m, now) && directory.storeById(to) != null) group.transferLeadership(to, now);
    }

    private long preferredLeader(Members m) {
        if (!timing.lowTraffic()) return changes.preferredLeader(m, part);
        var first = part == Parts.MANIFEST_PART ? null : membership.leader(Parts.MANIFEST_PART);
        return first != null && m.isVoter(first.storeId) ? first.storeId : 0;
    }

    private void transferLeadership(long now) {
        if (!group.isReadyLeader()) return;
        var heir = changes.selectSuccessor(group.members(), now);
        if (heir != 0) group.transferLeadership(heir, now);
    }
}
