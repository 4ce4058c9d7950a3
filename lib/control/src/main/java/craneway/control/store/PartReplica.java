package craneway.control.store;

import craneway.control.node.Directory;
import craneway.control.node.Membership;
import craneway.control.node.Port;
import craneway.control.plan.Mover;
import craneway.control.plan.Pressure;
import craneway.control.plan.Signals;
import craneway.control.plan.Watcher;
import craneway.model.event.Event;
import craneway.model.manifest.Manifest;
import craneway.model.manifest.ManifestReader;
import craneway.model.problem.Kind;
import craneway.model.unit.Parts;
import craneway.model.unit.TimingProfile;
import craneway.state.disk.Folder;
import craneway.state.message.BadMessageException;
import craneway.state.message.Codec;
import craneway.state.message.Commands;
import craneway.state.message.Messages.CommandRequest;
import craneway.state.message.Messages.CommandResult;
import craneway.state.message.Messages.Join;
import craneway.state.message.Messages.News;
import craneway.state.message.Messages.Renew;
import craneway.state.message.Messages.RenewReply;
import craneway.state.message.Messages.Subscribe;
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
    private static final long SUBSCRIPTION_TTL_MICROS = 2_000_000,
            AGING_INTERVAL_MICROS = 1_000_000,
            JOIN_REQUEST_TTL_MICROS = 2_000_000;
    private static final long REACHABLE_STORE_WINDOW_MICROS = 3_000_000,
            LOW_TRAFFIC_BALANCE_DELAY_MICROS = 3_500_000,
            STALE_TOPIC_PUSH_DELAY_MICROS = 300_000,
            PUSH_INTERVAL_MICROS = 150_000;
    private static final int MAX_QUEUED_EVENTS = 20_000;
    /** How long a leader rests after it looked through its members and runners, for each of them, and at most. */
    private static final long SCAN_PAUSE_PER_MEMBER_MICROS = 250,
            SCAN_PAUSE_PER_RUNNER_MICROS = 40,
            MAX_SCAN_PAUSE_MICROS = 500_000;

    private record PendingProposal(long term, Consumer<CommandResult> onResult) {}

    private final int part;
    private final Settings settings;
    private final Port port;
    private final Directory directory;
    private final Membership membership;
    private final Quorum quorum;
    private final TimingProfile timing;
    private final Executor executor;
    private final Group group;
    private final Records records = new Records();
    private final Mover unitMover = new Mover();
    private final Watcher stepWatcher = new Watcher();
    private final Pressure pressureRelief = new Pressure();
    private final Signals cellSignals = new Signals();
    private final LoadHistory loadHistory = new LoadHistory();
    private final CommandFence commandFence = new CommandFence();
    private final ReentrantLock lock = new ReentrantLock();
    private final LinkedBlockingQueue<Runnable> eventQueue = new LinkedBlockingQueue<>(MAX_QUEUED_EVENTS);
    private final AtomicBoolean drainScheduled = new AtomicBoolean();
    private final Map<Long, PendingProposal> pendingProposals = new HashMap<>();
    private final LeaseTable memberLeases = new LeaseTable();
    private final Map<String, Long> runnerHeardAt = new HashMap<>();
    private final Map<String, Long> lastSequenceByRunner = new HashMap<>();
    private final Map<String, Integer> loadByRunner = new HashMap<>();
    private final Map<String, Map<String, Long>> subscribersByTopic = new HashMap<>();
    private final Map<String, Long> publishedVersionByTopic = new HashMap<>();
    private final Map<String, Long> publishedAtByTopic = new HashMap<>();
    private final Map<String, Long> pushedAtByTarget = new HashMap<>();
    private final Set<String> openProposalKeys = new HashSet<>();
    private final MembershipChanges membershipChanges;
    private final PlannedLeave plannedLeave = new PlannedLeave();
    private boolean closed;
    private long leaderSince;
    private long lastAgedAt;
    private long nextMemberScanAt;
    private long nextRunnerScanAt;

    public PartReplica(
            int part,
            long self,
            Folder folder,
            Members initialMembers,
            Port port,
            Directory directory,
            Membership membership,
            Rules rules,
            Random random) {
        quorum = rules.quorum();
        timing = rules.timing();
        executor = rules.executors().apply(part);
        settings = rules.settings();
        this.part = part;
        this.port = port;
        this.directory = directory;
        this.membership = membership;
        this.group = new Group(
                part,
                self,
                directory.founding().origin(),
                folder,
                initialMembers,
                records,
                random,
                this,
                timing,
                port.now());
        membershipChanges = new MembershipChanges(self, quorum, timing, new GroupStoreStatus());
    }

    public void offer(Runnable event) {
        if (eventQueue.offer(event) && drainScheduled.compareAndSet(false, true)) executor.execute(this::drainEvents);
    }

    private void drainEvents() {
        drainScheduled.set(false);
        while (!eventQueue.isEmpty() && lock.tryLock()) {
            try {
                if (closed) eventQueue.clear();
                for (var event = eventQueue.poll(); event != null; event = eventQueue.poll()) event.run();
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
        offer(() -> tick(port.now()));
    }

    public void receive(PartMessage message) {
        offer(() -> group.receive(message, port.now()));
    }

    public void receive(CommandRequest request) {
        offer(() -> handleCommandRequest(request, port.now()));
    }

    public void receive(Renew renewal, Consumer<RenewReply> onReply) {
        offer(() -> handleRenewal(renewal, port.now(), onReply));
    }

    public void receive(Subscribe subscription) {
        offer(() -> addSubscriber(subscription, port.now()));
    }

    public void receive(Join request) {
        offer(() -> handleJoin(request, port.now()));
    }

    public void transferLeadership() {
        offer(() -> transferLeadership(port.now()));
    }

    /** Whether this store should ask to take part: it is no member, or its leader has been silent towards it. */
    public boolean shouldJoin(long now) {
        return !group.members().isMember(directory.self().storeId)
                || !group.leaderHeard(now, 2 * timing.electionTimeout());
    }

    public boolean leads() {
        return group.ready();
    }

    public Group group() {
        return group;
    }

    public Records records() {
        return records;
    }

    @Override
    public void send(PartMessage message) {
        var recipient = directory.store(message.to);
        if (recipient != null) port.send(recipient.peerAddress, message);
    }

    @Override
    public void applied(long index, long term, Object result) {
        var proposal = pendingProposals.remove(index);
        if (proposal == null) return;
        proposal.onResult.accept(
                proposal.term == term
                        ? (CommandResult) result
                        : Records.failure(Kind.UNCERTAIN, "the part changed its leader"));
    }

    @Override
    public void leadershipChanged(boolean leads, long term) {
        port.note(leads ? Event.LEADER : Event.LEADERSHIP_LOST, "part " + part + " term " + term);
        commandFence.reset();
        memberLeases.clear(port.now());
        runnerHeardAt.clear();
        lastSequenceByRunner.clear();
        loadByRunner.clear();
        publishedVersionByTopic.clear();
        publishedAtByTopic.clear();
        pushedAtByTarget.clear();
        openProposalKeys.clear();
        unitMover.reset();
        stepWatcher.reset();
        pressureRelief.reset(port.now());
        cellSignals.clear();
        loadHistory.clear();
        leaderSince = lastAgedAt = nextMemberScanAt = nextRunnerScanAt = port.now();
        if (leads) return;
        var orphaned = List.copyOf(pendingProposals.values());
        pendingProposals.clear();
        orphaned.forEach(proposal -> proposal.onResult.accept(Records.failure(Kind.UNCERTAIN, Kind.UNCERTAIN.text())));
    }

    @Override
    public void note(Event event, String detail) {
        port.note(event, detail);
    }

    private void tick(long now) {
        group.tick(now);
        if (!group.hasLease(now)) return;
        if (now >= nextMemberScanAt) {
            scanMembers(now);
            nextMemberScanAt = now
                    + Math.min(
                            MAX_SCAN_PAUSE_MICROS,
                            SCAN_PAUSE_PER_MEMBER_MICROS
                                    * records.rows().members.size());
        }
        proposeMembershipChange(now);
        proposeAging(now);
        proposeServiceSyncs();
        if (now >= nextRunnerScanAt) {
            scanRunners(now);
            proposeMoves(now);
            nextRunnerScanAt = now
                    + Math.min(
                            MAX_SCAN_PAUSE_MICROS,
                            SCAN_PAUSE_PER_RUNNER_MICROS
                                    * records.rows().services.values().stream()
                                            .mapToLong(service -> service.runners.size())
                                            .sum());
        }
        balanceLeaders(now);
    }

    private Node otherLeader() {
        var leaderId = group.leader();
        return leaderId == 0 || leaderId == directory.self().storeId ? null : directory.store(leaderId);
    }

    private void propose(Object command, Consumer<CommandResult> onResult) {
        var index = group.propose(Codec.writeTagged(command), port.now());
        if (index < 0) {
            onResult.accept(Records.failure(Kind.NOT_OWNER, ""));
        } else {
            pendingProposals.put(index, new PendingProposal(group.term(), onResult));
        }
    }

    private void propose(Object command) {
        propose(command, result -> {});
    }

    private void handleCommandRequest(CommandRequest request, long now) {
        if (!group.hasLease(now)) {
            var result = Records.failure(Kind.NOT_OWNER, "");
            result.leader = otherLeader();
            reply(request, result);
            return;
        }
        if (request.life != 0 && request.body != null && request.body.length == 0) {
            declineCommand(request, Kind.LATE_COMMAND);
            return;
        }
        try {
            admitOrDecline(request, Codec.readTagged(request.body), now);
        } catch (BadMessageException e) {
            port.note(Event.BAD_MESSAGE, e.getMessage());
            reply(request, Records.failure(Kind.BAD_MESSAGE, e.getMessage()));
        }
    }

    private void admitOrDecline(CommandRequest request, Object body, long now) {
        if (request.life == 0 || !Commands.is(body)) {
            dispatch(request, body, now);
            return;
        }
        var admission = commandFence.check(request, group.term(), now);
        var earlierResult = records.verdict(request.life, request.id);
        if (admission == CommandFence.Admission.ADMITTED && earlierResult != null) {
            reply(request, earlierResult);
            return;
        }
        var zoneOrder = body instanceof Commands.ZoneMark mark ? mark : null;
        if (admission == CommandFence.Admission.ADMITTED
                && zoneOrder != null
                && commandFence.isOvertaken(zoneOrder.zone, request.bound)) admission = CommandFence.Admission.LATE;
        if (admission == CommandFence.Admission.ADMITTED) dispatch(request, body, now);
        else {
            var isLate = admission == CommandFence.Admission.LATE;
            if (request.term != 0)
                port.note(isLate ? Event.LATE_COMMAND : Event.UNKNOWN_LIFE, describeCommand(request, body));
            declineCommand(request, isLate ? Kind.LATE_COMMAND : Kind.UNKNOWN_LIFE);
        }
    }

    private String describeCommand(CommandRequest request, Object body) {
        return body.getClass().getSimpleName() + " of " + request.from.name + " life " + Long.toHexString(request.life)
                + " ask " + request.id + " term " + request.term + ", at part " + part + " term " + group.term();
    }

    /** Refuses a command without effect; its sender learns the leader's clock and may ask anew within its patience. */
    private void declineCommand(CommandRequest request, Kind kind) {
        commandFence.recordClockSent(request.life);
        reply(request, Records.failure(kind, kind.text()));
    }

    private void reply(CommandRequest request, CommandResult result) {
        var response = new CommandResult();
        response.id = request.id;
        response.kind = result.kind;
        response.detail = result.detail;
        response.retryAfter = result.retryAfter;
        response.leader = result.leader;
        response.version = result.version;
        response.body = result.body;
        response.life = request.life;
        if (request.life != 0 && group.ready()) {
            response.term = group.term();
            response.clock = port.now();
        }
        port.send(request.from.peerAddress, response);
    }

    private void dispatch(CommandRequest request, Object body, long now) {
        if (body instanceof Queries.Status) reply(request, statusResult());
        else if (body instanceof Queries.ManifestGet) reply(request, okWithBody(records.rows().manifest));
        else if (body instanceof Queries.RolloutGet query) reply(request, rolloutStatusResult(query, now));
        else if (body instanceof Queries.PlanGet query) reply(request, planResult(query));
        else if (body instanceof Commands.ManifestPut command) putManifest(request, command);
        else if (body instanceof Commands.RunnerPut command) putRunner(request, command, now);
        else if (body instanceof Commands.RunnerLeft command && !isActiveRunner(command.runner))
            reply(request, Records.ok());
        else proposeCommand(request, body, result -> reply(request, result));
    }

    private void proposeCommand(CommandRequest request, Object command, Consumer<CommandResult> onResult) {
        propose(
                allMembersReadFencedCommands() ? CommandFence.withIdentity(request, command, request.body) : command,
                onResult);
    }

    /** Whether each member, and so each replica, reads commands under an identity. */
    private boolean allMembersReadFencedCommands() {
        var members = records.rows().members.values();
        return !members.isEmpty() && members.stream().allMatch(member -> member.node.fenced);
    }

    private boolean isActiveRunner(String runner) {
        return records.rows().services.values().stream()
                .map(service -> service.runners.get(runner))
                .anyMatch(row -> row != null && row.state != Rows.Runner.LEAVING);
    }

    private static CommandResult okWithBody(Object body) {
        var result = Records.ok();
        result.body = Codec.write(body);
        return result;
    }

    private CommandResult planResult(Queries.PlanGet query) {
        var plan = records.rows().plans.get(query.plan);
        return plan == null ? Records.failure(Kind.UNKNOWN_PLAN, "no plan " + query.plan) : okWithBody(plan);
    }

    private void putManifest(CommandRequest request, Commands.ManifestPut command) {
        var parsed = command.number > 0 ? null : ManifestReader.read(command.text);
        if (parsed != null && parsed.isLeft())
            reply(
                    request,
                    Records.failure(parsed.getLeft().kind(), parsed.getLeft().detail()));
        else proposeCommand(request, command, result -> reply(request, result));
    }

    private void putRunner(CommandRequest request, Commands.RunnerPut command, long now) {
        var service = records.rows().services.get(command.service);
        var known = service == null ? null : service.runners.get(command.runner);
        var key = command.service + "/" + command.runner;
        var isStale = command.sequence < lastSequenceByRunner.getOrDefault(key, 0L) && command.state == Rows.Runner.UP;
        if (isStale) {
            reply(request, Records.ok());
            return;
        }
        var isUnchanged = known != null
                && known.state == command.state
                && (known.up() || known.state == Rows.Runner.LEAVING)
                && known.incarnation == command.incarnation
                && known.cold == command.cold
                && known.slots == command.slots
                && known.cell.equals(command.cell)
                && known.address.equals(command.address);
        if (known == null || command.incarnation >= known.incarnation) {
            runnerHeardAt.put(key, now);
            lastSequenceByRunner.merge(key, command.sequence, Math::max);
            loadByRunner.put(key, command.load);
        }
        var cellIndex = service == null ? -1 : service.cells.indexOf(command.cell);
        if (service == null) reply(request, Records.failure(Kind.UNKNOWN_SERVICE, "no service " + command.service));
        else if (cellIndex < 0 || !service.live(cellIndex))
            reply(
                    request,
                    Records.failure(Kind.BAD_FIELD, "service " + command.service + " has no cell " + command.cell));
        else if (isUnchanged) reply(request, Records.ok());
        else
            proposeCommand(request, command, result -> {
                if (result.kind == 0)
                    port.note(
                            command.state == Rows.Runner.UP ? Event.RUNNER_UP : Event.RUNNER_LEAVING,
                            command.runner + " incarnation " + command.incarnation + (command.cold ? " cold" : ""));
                reply(request, result);
            });
    }

    private CommandResult statusResult() {
        var status = new PartStatus();
        status.part = part;
        status.leader = directory.self().name;
        status.term = group.term();
        status.applied = group.applied();
        var members = group.members();
        for (var i = 0; i < members.voters.length; i++)
            status.group.add(storeName(members.voters[i]) + " (" + members.zones[i] + ")");
        if (members.learner != 0)
            status.group.add(storeName(members.learner) + " (" + members.learnerZone + ", learner)");
        status.members.addAll(records.rows().members.values());
        status.services.addAll(records.rows().services.values());
        status.plans.addAll(records.rows().plans.values());
        status.manifest = records.rows().manifest;
        status.loads.putAll(loadByRunner);
        for (var serviceName : records.rows().services.keySet()) {
            var peaks = new PartStatus.Peaks();
            peaks.service = serviceName;
            peaks.minutes = loadHistory.peaksNewestFirst(serviceName);
            status.peaks.add(peaks);
        }
        status.claims = records.rows().claims.size();
        return okWithBody(status);
    }

    private String storeName(long storeId) {
        var node = directory.store(storeId);
        return node == null ? "unreached" : node.name;
    }

    private CommandResult rolloutStatusResult(Queries.RolloutGet query, long now) {
        var status = new RolloutStatus();
        for (var member : records.rows().members.values()) {
            var reportedVersion = memberLeases.reportedVersion(member.node.name, Parts.MANIFEST_TOPIC);
            if (reportedVersion >= query.version
                    && !member.lapsed
                    && !memberLeases.earlierInstanceMayAct(member.node, now)) continue;
            status.missing.add(member.node.name);
            var grace = query.zone.isEmpty() || member.node.zone.equals(query.zone) ? member.node.grace : 0;
            if (member.node.isRouter() && memberLeases.mayStillAct(member.node, grace, now))
                status.able.add(member.node.name);
        }
        return okWithBody(status);
    }

    private void handleRenewal(Renew renewal, long now, Consumer<RenewReply> onReply) {
        if (!group.hasLease(now)) {
            var reply = newRenewReply(renewal, Kind.NOT_OWNER.code());
            reply.leader = otherLeader();
            onReply.accept(reply);
            return;
        }
        if (!renewal.leaving) pushStaleTopics(renewal, now);
        var member = records.rows().members.get(renewal.from.name);
        if (member != null) directory.replaced(member.node, renewal.from);
        var outranking = findOutrankingNode(renewal.from, member);
        if (outranking != null) {
            var reply = newRenewReply(renewal, Kind.STALE_MEMBER.code());
            reply.incarnation = outranking.incarnation;
            reply.known = outranking;
            onReply.accept(reply);
        } else if (renewal.leaving) {
            removeMember(renewal, member);
        } else if (member == null
                || member.lapsed
                || member.node.incarnation != renewal.from.incarnation
                || !member.node.peerAddress.equals(renewal.from.peerAddress)
                || member.node.serving != renewal.from.serving
                || member.node.grace != renewal.from.grace
                || member.node.wire != renewal.from.wire
                || member.node.fenced != renewal.from.fenced
                || !member.node.clientAddress.equals(renewal.from.clientAddress)) {
            var command = new Commands.MemberPut();
            command.node = renewal.from;
            propose(command, result -> {
                if (result.kind == 0) grantRenewal(renewal, port.now(), onReply);
            });
        } else {
            grantRenewal(renewal, now, onReply);
        }
    }

    /** The life of this name that a renewal would have to outrank: the one on record, else one that this store has heard. */
    private Node findOutrankingNode(Node sender, Rows.Member member) {
        var known = member != null ? member.node : sender.life == 0 ? null : directory.named(sender.name);
        if (known == null) return null;
        var isNewer = known.incarnation > sender.incarnation;
        return isNewer || member != null && known.incarnation == sender.incarnation && known.otherLife(sender)
                ? known
                : null;
    }

    private void removeMember(Renew renewal, Rows.Member member) {
        if (member == null) return;
        var command = new Commands.MemberGone();
        command.name = renewal.from.name;
        command.incarnation = renewal.from.incarnation;
        propose(command);
    }

    private RenewReply newRenewReply(Renew renewal, int kind) {
        var reply = new RenewReply();
        reply.part = part;
        reply.kind = kind;
        reply.incarnation = renewal.from.incarnation;
        reply.stamp = renewal.stamp;
        return reply;
    }

    /** Sends the news of a topic to whoever has nothing of it yet, or has been behind for long. */
    private void pushStaleTopics(Renew renewal, long now) {
        pushedAtByTarget.values().removeIf(sentAt -> now - sentAt > PUSH_INTERVAL_MICROS);
        for (var topic : topicNames()) {
            var index = renewal.topics.indexOf(topic);
            var reportedVersion = index < 0 ? 0 : renewal.versions.get(index);
            if (index < 0 && renewal.members >= 0
                    || reportedVersion >= topicVersion(topic)
                    || reportedVersion > 0
                            && now - publishedAtByTopic.getOrDefault(topic, leaderSince)
                                    < STALE_TOPIC_PUSH_DELAY_MICROS) continue;
            if (pushedAtByTarget.putIfAbsent(renewal.from.peerAddress + " " + topic, now) == null)
                port.send(renewal.from.peerAddress, newNews(topic));
        }
    }

    private void grantRenewal(Renew renewal, long now, Consumer<RenewReply> onReply) {
        memberLeases.recordRenewal(renewal, now);
        for (var signal : renewal.signals)
            cellSignals.add(signal.service, signal.cell, signal.runs, signal.problems, signal.firstMicros, now);
        var reply = newRenewReply(renewal, 0);
        reply.leader = directory.self();
        reply.grace = renewal.from.grace;
        reply.membersVersion = records.rows().membersVersion;
        if (reply.membersVersion != renewal.members)
            reply.members = new ArrayList<>(records.rows().members.values().stream()
                    .filter(member -> !member.lapsed)
                    .map(member -> member.node)
                    .toList());
        for (var topic : topicNames()) {
            var index = renewal.topics.indexOf(topic);
            if (timing.lowTraffic() && index >= 0 && renewal.versions.get(index) == topicVersion(topic)) continue;
            reply.topics.add(topic);
            reply.versions.add(topicVersion(topic));
        }
        onReply.accept(reply);
    }

    private List<String> topicNames() {
        var names = new ArrayList<>(records.rows().services.keySet());
        if (part == Parts.MANIFEST) names.add(Parts.MANIFEST_TOPIC);
        return names;
    }

    private long topicVersion(String topic) {
        if (topic.equals(Parts.MANIFEST_TOPIC)) return records.rows().manifest.topicVersion;
        var service = records.rows().services.get(topic);
        return service == null ? 0 : service.newsVersion;
    }

    private News newNews(String topic) {
        var news = new News();
        news.topic = topic;
        news.version = topicVersion(topic);
        news.body = Codec.write(
                topic.equals(Parts.MANIFEST_TOPIC)
                        ? records.rows().manifest.inForce()
                        : records.rows().services.get(topic));
        return news;
    }

    private void addSubscriber(Subscribe subscription, long now) {
        if (!group.hasLease(now) || topicVersion(subscription.topic) == 0) return;
        subscribersByTopic
                .computeIfAbsent(subscription.topic, topic -> new HashMap<>())
                .put(subscription.from.peerAddress, now);
        if (topicVersion(subscription.topic) > subscription.have)
            port.send(subscription.from.peerAddress, newNews(subscription.topic));
    }

    private void publishNews(long now) {
        if (!group.hasLease(now)) return;
        for (var topic : topicNames()) {
            var version = topicVersion(topic);
            if (publishedVersionByTopic.getOrDefault(topic, 0L) >= version) continue;
            publishedVersionByTopic.put(topic, version);
            publishedAtByTopic.put(topic, now);
            var subscribers = subscribersByTopic.getOrDefault(topic, Map.of());
            subscribers.values().removeIf(renewedAt -> now - renewedAt > SUBSCRIPTION_TTL_MICROS);
            if (subscribers.isEmpty()) continue;
            var news = newNews(topic);
            subscribers.keySet().forEach(address -> port.send(address, news));
        }
    }

    private void scanMembers(long now) {
        for (var member : List.copyOf(records.rows().members.values())) {
            if (!member.lapsed && memberLeases.hasLapsed(member.node, now)) proposeLapse(member);
            else if (member.lapsed && memberLeases.isForgettable(member.node, now)) proposeRemoval(member);
        }
    }

    private void proposeLapse(Rows.Member member) {
        var command = new Commands.MemberLapsed();
        command.name = member.node.name;
        command.incarnation = member.node.incarnation;
        if (wasAlreadyProposed("lapse/" + command.name + "/" + command.incarnation)) return;
        port.note(Event.MEMBER_LAPSED, member.node.name + " at part " + part);
        propose(command, result -> openProposalKeys.remove("lapse/" + command.name + "/" + command.incarnation));
    }

    private void proposeRemoval(Rows.Member member) {
        var command = new Commands.MemberGone();
        command.name = member.node.name;
        command.incarnation = member.node.incarnation;
        if (wasAlreadyProposed("gone/" + command.name)) return;
        propose(command, result -> openProposalKeys.remove("gone/" + command.name));
    }

    private boolean wasAlreadyProposed(String key) {
        return !openProposalKeys.add(key);
    }

    private void scanRunners(long now) {
        for (var service : records.rows().services.values())
            for (var runner : service.runners.values()) {
                var key = service.name + "/" + runner.name;
                var heardAt = runnerHeardAt.computeIfAbsent(key, absentKey -> now);
                if (!runner.up() || now - heardAt <= settings.dark() || wasAlreadyProposed("dark/" + key)) continue;
                var command = new Commands.RunnerMark();
                command.service = service.name;
                command.runner = runner.name;
                command.incarnation = runner.incarnation;
                command.state = Rows.Runner.DARK;
                port.note(Event.RUNNER_DARK, key);
                propose(command, result -> openProposalKeys.remove("dark/" + key));
            }
    }

    private void handleJoin(Join request, long now) {
        if (request.answer) plannedLeave.recordAnswer(request.mayGo, now);
        else if (group.hasLease(now) && request.leaving) handleLeaveRequest(request, now);
        else if (group.hasLease(now) && !group.members().isMember(request.from.storeId))
            membershipChanges.wants(request.from.storeId, request.from.zone, now + JOIN_REQUEST_TTL_MICROS);
    }

    private void handleLeaveRequest(Join request, long now) {
        membershipChanges.leaves(request.from.storeId, now + JOIN_REQUEST_TTL_MICROS);
        var answer = new Join();
        answer.part = part;
        answer.from = directory.self();
        answer.answer = true;
        answer.mayGo = membershipChanges.mayGo(request.from.storeId, group.members(), leaderSince, now);
        port.send(request.from.peerAddress, answer);
    }

    /** Whether this store, which has been stopping since then, is still needed here. */
    public boolean needed(long stoppingSince, long now) {
        return plannedLeave.isNeeded(
                stoppingSince, group.ready(), group.leaderHeard(now, 2 * timing.electionTimeout()), now);
    }

    private void proposeMembershipChange(long now) {
        membershipChanges.next(group.members(), leaderSince, now).ifPresent(next -> group.changeMembers(next, now));
    }

    /** What this leader knows of the other stores of its part. */
    private final class GroupStoreStatus implements MembershipChanges.Knowledge {
        @Override
        public boolean diskLost(long store) {
            return directory.gone(store);
        }

        @Override
        public long heardFrom(long store) {
            return group.heardFrom(store);
        }

        @Override
        public boolean caughtUp(long store) {
            return group.caughtUp(store, port.now());
        }

        @Override
        public boolean level(long store) {
            return group.matchOf(store) >= group.lastIndex();
        }
    }

    private static long voterInZone(Members members, String zone) {
        for (var i = 0; i < members.voters.length; i++) if (members.zones[i].equals(zone)) return members.voters[i];
        return 0;
    }

    private void proposeAging(long now) {
        if (now - lastAgedAt < AGING_INTERVAL_MICROS) return;
        var rows = records.rows();
        var anyCellHeld = rows.services.values().stream().anyMatch(service -> !service.heldUntil.isEmpty());
        var anyRunnerEnded = settings.forgotten() > 0
                && rows.services.values().stream()
                        .anyMatch(service -> service.runners.values().stream().anyMatch(runner -> !runner.up()));
        if (anyCellHeld || anyRunnerEnded || rows.claimsLost || !rows.claims.isEmpty() || !rows.quotas.isEmpty()) {
            var command = new Commands.Age();
            command.micros = now - lastAgedAt;
            command.forgotten = settings.forgotten();
            var manifest = membership.view().manifest();
            command.retention = manifest == null ? 86_400_000_000L : manifest.claimRetention();
            propose(command);
        }
        lastAgedAt = now;
    }

    private void proposeServiceSyncs() {
        var view = membership.view();
        if (view.manifest() == null || part == Parts.MANIFEST) return;
        for (var service : view.manifest().services().values()) {
            if (Parts.of(service.name()) != part) continue;
            var row = records.rows().services.get(service.name());
            if (row != null && row.manifestVersion >= view.topic().version
                    || wasAlreadyProposed("sync/" + service.name())) continue;
            propose(
                    newServiceSync(service, view.manifest(), view.topic().version),
                    result -> openProposalKeys.remove("sync/" + service.name()));
        }
    }

    private static Commands.ServiceSync newServiceSync(
            Manifest.Service service, Manifest manifest, long manifestVersion) {
        var command = new Commands.ServiceSync();
        command.service = service.name();
        command.manifestVersion = manifestVersion;
        command.bySlots = service.bySlots();
        command.bound.addAll(manifest.routes().bound(service.name()));
        command.regions.addAll(manifest.regions());
        for (var cell : service.cells()) {
            command.cells.add(cell.name());
            command.zones.add(cell.zone());
            command.cellRegions.add(manifest.regionOfZone(cell.zone()));
            command.weights.add(cell.weight());
        }
        return command;
    }

    private void proposeMoves(long now) {
        var view = membership.view();
        if (view.manifest() == null) return;
        for (var service : records.rows().services.values()) {
            loadHistory.record(service.name, totalLoad(service), now);
            if (openProposalKeys.contains("step/" + service.name)) continue;
            var command = nextStepCommand(service, view, now);
            if (command == null) continue;
            openProposalKeys.add("step/" + service.name);
            propose(command, result -> {
                openProposalKeys.remove("step/" + service.name);
                if (result.kind == 0) logStep(service.name, command);
            });
        }
    }

    private int totalLoad(Rows.Service service) {
        return service.runners.values().stream()
                .filter(Rows.Runner::up)
                .mapToInt(runner -> loadByRunner.getOrDefault(service.name + "/" + runner.name, 0))
                .sum();
    }

    private Object nextStepCommand(Rows.Service service, Membership.View view, long now) {
        var openCells = unitMover.open(service, view.topic().marks, now);
        var stepMark = stepWatcher.judge(service, cellSignals, openCells, now);
        if (stepMark != null) return stepMark;
        var step = unitMover.step(
                service,
                view.manifest().service(service.name),
                view.topic().marks,
                (cell, index) -> isZoneStoreSynced(service, cell, index, now),
                now);
        if (lowestWireVersion() < Node.STEPS)
            return step instanceof Commands.StepAsk stepAsk ? Mover.plain(stepAsk) : step;
        return step != null ? step : pressureRelief.ask(service, loadByRunner, openCells, now);
    }

    private int lowestWireVersion() {
        return records.rows().members.values().stream()
                .mapToInt(member -> member.node.wire)
                .min()
                .orElse(0);
    }

    private void logStep(String service, Object command) {
        var row = records.rows().services.get(service);
        if (command instanceof Commands.Displace displacement)
            port.note(
                    Event.PRESSURE,
                    service + " " + displacement.units.length + " units "
                            + (displacement.cells[0] < 0
                                    ? "may go back"
                                    : "to " + row.cells.get(displacement.cells[0])));
        if (!(command instanceof Commands.StepMark mark)) return;
        var step = row.step(mark.id);
        var detail = service + " step " + step.id + " " + step.units.length + " units to " + row.cells.get(step.to)
                + ": " + step.stateName() + ", " + step.cause + ", table version " + row.tableVersion;
        port.note(
                mark.state == Rows.Step.TAKEN_BACK || mark.state == Rows.Step.DROPPED
                        ? Event.MOVE_STOPPED
                        : Event.MOVE_STEP,
                detail);
    }

    private boolean isZoneStoreSynced(Rows.Service service, int cell, long index, long now) {
        var storeId = voterInZone(group.members(), service.zones.get(cell));
        return storeId == 0
                || storeId == directory.self().storeId
                || now - group.heardFrom(storeId) > REACHABLE_STORE_WINDOW_MICROS
                || group.matchOf(storeId) >= index;
    }

    private void balanceLeaders(long now) {
        if (now - leaderSince < (timing.lowTraffic() ? LOW_TRAFFIC_BALANCE_DELAY_MICROS : timing.settled())) return;
        var members = group.members();
        var preferred = preferredLeader(members);
        if (membershipChanges.mayLead(preferred, members, now) && directory.store(preferred) != null)
            group.transferLeadership(preferred, now);
    }

    private long preferredLeader(Members members) {
        if (!timing.lowTraffic()) return membershipChanges.preferredLeader(members, part);
        var manifestLeader = part == Parts.MANIFEST ? null : membership.leader(Parts.MANIFEST);
        return manifestLeader != null && members.isVoter(manifestLeader.storeId) ? manifestLeader.storeId : 0;
    }

    private void transferLeadership(long now) {
        if (!group.ready()) return;
        var successor = membershipChanges.heir(group.members(), now);
        if (successor != 0) group.transferLeadership(successor, now);
    }
}
