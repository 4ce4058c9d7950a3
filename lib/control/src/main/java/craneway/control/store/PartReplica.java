package craneway.control.store;

import craneway.control.node.Membership;
import craneway.control.node.NodeDirectory;
import craneway.control.node.Port;
import craneway.control.plan.PressureRelief;
import craneway.control.plan.SignalHistory;
import craneway.control.plan.StepWatcher;
import craneway.control.plan.UnitMover;
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
import craneway.state.message.Messages.Renewal;
import craneway.state.message.Messages.RenewalReply;
import craneway.state.message.Messages.Subscription;
import craneway.state.message.Messages.TopicUpdate;
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

/**
 * One store's replica of a part: the replicated log ({@link Group}) with its state ({@link Records}), and what the
 * part's leader does beside it. The leader grants leases to members, publishes updates of the part's topics, marks
 * silent runners as dark, moves units between cells, and adjusts the group's members.
 *
 * <p>All input arrives as events that run one at a time, on the part's executor and under its lock. After each batch of
 * events the log is synced and pending messages are sent, so that nothing is sent before what it depends on is on disk.
 * What only the leader keeps in memory (leases, subscriptions, loads) is cleared whenever leadership changes. Times are
 * microseconds of the process's monotonic clock.
 */
public final class PartReplica implements GroupListener {
    /** How long a subscription to a topic lasts unless it is renewed. */
    private static final long SUBSCRIPTION_TTL_MICROS = 2_000_000;

    /** How often the leader advances the replicated age by which claims, quotas, holds and ended runners expire. */
    private static final long AGING_INTERVAL_MICROS = 1_000_000;

    /** How long a request to join or to leave the group counts unless it is repeated. */
    private static final long JOIN_REQUEST_TTL_MICROS = 2_000_000;

    /** A move to a cell does not wait for the store in that cell's zone once it has been silent for this long. */
    private static final long REACHABLE_STORE_WINDOW_MICROS = 3_000_000;

    /** With the low-traffic profile, how long a new leader waits before it gives leadership to the preferred store. */
    private static final long LOW_TRAFFIC_BALANCE_DELAY_MICROS = 3_500_000;

    /** A member behind on a topic gets it pushed if the current version has been published for this long. */
    private static final long STALE_TOPIC_PUSH_DELAY_MICROS = 300_000;

    /** A topic is pushed to the same member at most once in this time. */
    private static final long PUSH_INTERVAL_MICROS = 150_000;

    /** Events that arrive while this many are queued are dropped; senders repeat unanswered messages. */
    private static final int MAX_QUEUED_EVENTS = 20_000;

    /** The pause between two scans of the members grows by this much for each member, which bounds the scan's cost. */
    private static final long SCAN_PAUSE_PER_MEMBER_MICROS = 250;

    /** The pause between two scans of the runners grows by this much for each runner. */
    private static final long SCAN_PAUSE_PER_RUNNER_MICROS = 40;

    /** The longest pause between two scans of members or runners. */
    private static final long MAX_SCAN_PAUSE_MICROS = 500_000;

    /**
     * A command in the log whose outcome the proposer waits for; a different term at its index means that it was
     * replaced.
     */
    private record PendingProposal(long term, Consumer<CommandResult> onResult) {}

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
    private final UnitMover unitMover = new UnitMover();
    private final StepWatcher stepWatcher = new StepWatcher();
    private final PressureRelief pressureRelief = new PressureRelief();
    private final SignalHistory signalHistory = new SignalHistory();
    private final LoadHistory loadHistory = new LoadHistory();
    private final CommandFence commandFence = new CommandFence();
    private final ReentrantLock lock = new ReentrantLock();
    private final LinkedBlockingQueue<Runnable> eventQueue = new LinkedBlockingQueue<>(MAX_QUEUED_EVENTS);
    private final AtomicBoolean drainScheduled = new AtomicBoolean();
    private final Map<Long, PendingProposal> pendingProposals = new HashMap<>();
    private final LeaseTable memberLeases = new LeaseTable();
    /** The key of this map and the next two is "service/runner". */
    private final Map<String, Long> runnerHeardAt = new HashMap<>();

    private final Map<String, Long> lastSequenceByRunner = new HashMap<>();
    private final Map<String, Integer> loadByRunner = new HashMap<>();
    /** By topic, the address of each subscriber and when it last subscribed. */
    private final Map<String, Map<String, Long>> subscribersByTopic = new HashMap<>();

    private final Map<String, Long> publishedVersionByTopic = new HashMap<>();
    private final Map<String, Long> publishedAtByTopic = new HashMap<>();
    /** When a topic was last pushed, by "address topic". */
    private final Map<String, Long> pushedAtByTarget = new HashMap<>();
    /** Proposals of this leader that are not applied yet; keeps it from proposing the same change on each tick. */
    private final Set<String> openProposalKeys = new HashSet<>();

    private final MembershipChanges membershipChanges;
    private final PlannedLeave plannedLeave = new PlannedLeave();
    private boolean closed;
    private long leaderSince;
    private long lastAgedAt;
    private long nextMemberScanAt;
    private long nextRunnerScanAt;

    /**
     * Opens the replica from its folder; {@code initialMembers} are empty unless this store bootstrapped or rebuilt the
     * core.
     */
    public PartReplica(
            int part,
            long selfId,
            Folder folder,
            Members initialMembers,
            Port port,
            NodeDirectory directory,
            Membership membership,
            StoreOptions options,
            Random random) {
        quorum = options.quorum();
        timing = options.timing();
        executor = options.executorByPart().apply(part);
        settings = options.settings();
        this.part = part;
        this.port = port;
        this.directory = directory;
        this.membership = membership;
        this.group = new Group(
                part,
                selfId,
                directory.founding().originalCoreId(),
                folder,
                initialMembers,
                records,
                random,
                this,
                timing,
                port.now());
        membershipChanges = new MembershipChanges(selfId, quorum, timing, new GroupStoreStatus());
    }

    /**
     * Queues an event and schedules the executor if it is not scheduled yet; drops the event if the queue is full.
     * Safe for several threads.
     */
    public void enqueue(Runnable event) {
        if (eventQueue.offer(event) && drainScheduled.compareAndSet(false, true)) executor.execute(this::drainEvents);
    }

    /**
     * Runs queued events, then syncs the log and sends. If another thread holds the lock, that thread runs the
     * events.
     */
    private void drainEvents() {
        drainScheduled.set(false);
        while (!eventQueue.isEmpty() && lock.tryLock()) {
            try {
                if (closed) eventQueue.clear();
                for (var event = eventQueue.poll(); event != null; event = eventQueue.poll()) event.run();
                if (closed) return;
                group.syncAndSend(port.now());
                publishUpdates(port.now());
            } finally {
                lock.unlock();
            }
        }
    }

    /** Stops the replica: events still queued or queued later are discarded. Waits for a running event. */
    public void close() {
        lock.lock();
        closed = true;
        lock.unlock();
    }

    /** Queues the periodic work: elections, heartbeats and, on the leader, scans and proposals. */
    public void tick() {
        enqueue(() -> tick(port.now()));
    }

    /** Queues a message of the replicated log. */
    public void receive(PartMessage message) {
        enqueue(() -> group.receive(message, port.now()));
    }

    /** Queues a query or command; the result is sent to the address in the request. */
    public void receive(CommandRequest request) {
        enqueue(() -> handleCommandRequest(request, port.now()));
    }

    /**
     * Queues a lease renewal; {@code onReply} is not called for a member that leaves or whose row could not be
     * written.
     */
    public void receive(Renewal renewal, Consumer<RenewalReply> onReply) {
        enqueue(() -> handleRenewal(renewal, port.now(), onReply));
    }

    /** Queues a subscription to a topic of this part. */
    public void receive(Subscription subscription) {
        enqueue(() -> addSubscriber(subscription, port.now()));
    }

    /**
     * Queues a request to join or to leave the group, or the leader's answer to this store's own request to leave.
     */
    public void receive(Join request) {
        enqueue(() -> handleJoin(request, port.now()));
    }

    /** Queues the transfer of leadership to another store, if this one leads. */
    public void transferLeadership() {
        enqueue(() -> transferLeadership(port.now()));
    }

    /**
     * Whether this store should ask to join the group: it is not a member, or it has not heard a leader for two
     * election timeouts.
     */
    public boolean shouldJoin(long now) {
        return !group.members().isMember(directory.self().storeId)
                || !group.hasLeaderContact(now, 2 * timing.electionTimeout());
    }

    /** Whether this store leads the part and has applied everything that earlier terms committed. */
    public boolean isLeader() {
        return group.isReadyLeader();
    }

    /** The replicated log; it is not safe for use outside the replica's events. */
    public Group group() {
        return group;
    }

    /** The replicated state; it is not safe for use outside the replica's events. */
    public Records records() {
        return records;
    }

    @Override
    public void send(PartMessage message) {
        var recipient = directory.storeById(message.to);
        if (recipient != null) port.send(recipient.peerAddress, message);
    }

    @Override
    public void onApplied(long index, long term, Object result) {
        var proposal = pendingProposals.remove(index);
        if (proposal == null) return;
        proposal.onResult.accept(
                proposal.term == term
                        ? (CommandResult) result
                        : Records.failure(
                                ProblemKind.UNCERTAIN,
                                "the leader of the part changed before the command was committed"));
    }

    @Override
    public void onLeadershipChanged(boolean leads, long term) {
        port.logEvent(leads ? Event.LEADER : Event.LEADERSHIP_LOST, "part " + part + " term " + term);
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
        signalHistory.clear();
        loadHistory.clear();
        leaderSince = lastAgedAt = nextMemberScanAt = nextRunnerScanAt = port.now();
        if (leads) return;
        var orphaned = List.copyOf(pendingProposals.values());
        pendingProposals.clear();
        orphaned.forEach(proposal ->
                proposal.onResult.accept(Records.failure(ProblemKind.UNCERTAIN, ProblemKind.UNCERTAIN.text())));
    }

    @Override
    public void logEvent(Event event, String detail) {
        port.logEvent(event, detail);
    }

    /** Drives the log; a leader with a lease also scans members and runners and proposes the changes that are due. */
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

    /** The leader to redirect a sender to; null if none is known or if this store is the one that last led. */
    private Node otherLeader() {
        var leaderId = group.leaderId();
        return leaderId == 0 || leaderId == directory.self().storeId ? null : directory.storeById(leaderId);
    }

    /**
     * Appends a command as the leader; {@code onResult} gets NOT_OWNER at once if this store may not, else the
     * outcome once it is applied.
     */
    private void propose(Object command, Consumer<CommandResult> onResult) {
        var index = group.propose(Codec.encodeTagged(command), port.now());
        if (index < 0) {
            onResult.accept(Records.failure(ProblemKind.NOT_OWNER, ""));
        } else {
            pendingProposals.put(index, new PendingProposal(group.term(), onResult));
        }
    }

    private void propose(Object command) {
        propose(command, result -> {});
    }

    /** Answers a query or command as the leader; an empty body only asks for the leader's clock. */
    private void handleCommandRequest(CommandRequest request, long now) {
        if (!group.hasLease(now)) {
            var result = Records.failure(ProblemKind.NOT_OWNER, "");
            result.leader = otherLeader();
            reply(request, result);
            return;
        }
        if (request.sessionId != 0 && request.body != null && request.body.length == 0) {
            declineCommand(request, ProblemKind.LATE_COMMAND);
            return;
        }
        try {
            admitOrDecline(request, Codec.decodeTagged(request.body), now);
        } catch (BadMessageException e) {
            port.logEvent(Event.BAD_MESSAGE, e.getMessage());
            reply(request, Records.failure(ProblemKind.BAD_MESSAGE, e.getMessage()));
        }
    }

    /**
     * Passes on a query, or a command that the fence admits. A repeated command that was applied gets its earlier
     * result.
     */
    private void admitOrDecline(CommandRequest request, Object body, long now) {
        if (request.sessionId == 0 || !Commands.isCommand(body)) {
            dispatch(request, body, now);
            return;
        }
        var admission = commandFence.check(request, group.term(), now);
        var earlierResult = records.recordedResult(request.sessionId, request.id);
        if (admission == CommandFence.Admission.ADMITTED && earlierResult != null) {
            reply(request, earlierResult);
            return;
        }
        var zoneMark = body instanceof Commands.ZoneMark mark ? mark : null;
        if (admission == CommandFence.Admission.ADMITTED
                && zoneMark != null
                && commandFence.isOvertaken(zoneMark.zone, request.leaderDeadline))
            admission = CommandFence.Admission.LATE;
        if (admission == CommandFence.Admission.ADMITTED) dispatch(request, body, now);
        else {
            var isLate = admission == CommandFence.Admission.LATE;
            if (request.leaderTerm != 0)
                port.logEvent(isLate ? Event.LATE_COMMAND : Event.UNKNOWN_INSTANCE, describeCommand(request, body));
            declineCommand(request, isLate ? ProblemKind.LATE_COMMAND : ProblemKind.UNKNOWN_LIFE);
        }
    }

    private String describeCommand(CommandRequest request, Object body) {
        return body.getClass().getSimpleName() + " of " + request.from.name + " life "
                + Long.toHexString(request.sessionId) + " request " + request.id + " term " + request.leaderTerm
                + ", at part " + part + " term " + group.term();
    }

    /**
     * Declines a command without effect. The reply carries the leader's clock, so that the sender may send it again,
     * with a new deadline on this clock, before the sender's own deadline has passed.
     */
    private void declineCommand(CommandRequest request, ProblemKind kind) {
        commandFence.recordClockSent(request.sessionId);
        reply(request, Records.failure(kind, kind.text()));
    }

    /** Sends a result to the sender of a request, with the term and clock of this store if it leads. */
    private void reply(CommandRequest request, CommandResult result) {
        var response = new CommandResult();
        response.id = request.id;
        response.kind = result.kind;
        response.detail = result.detail;
        response.retryAfterMicros = result.retryAfterMicros;
        response.leader = result.leader;
        response.version = result.version;
        response.body = result.body;
        response.sessionId = request.sessionId;
        if (request.sessionId != 0 && group.isReadyLeader()) {
            response.leaderTerm = group.term();
            response.leaderClock = port.now();
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

    /**
     * Proposes a command of another process, with its identity as soon as every member can read commands that carry
     * one.
     */
    private void proposeCommand(CommandRequest request, Object command, Consumer<CommandResult> onResult) {
        propose(
                allMembersReadIdentifiedCommands()
                        ? CommandFence.withIdentity(request, command, request.body)
                        : command,
                onResult);
    }

    /** Whether all members, and so all replicas, can read commands that carry the identity of their sender. */
    private boolean allMembersReadIdentifiedCommands() {
        var members = records.rows().members.values();
        return !members.isEmpty() && members.stream().allMatch(member -> member.node.supportsIdentifiedCommands);
    }

    /** Whether some service of this part has a runner of this name that is not leaving. */
    private boolean isActiveRunner(String runner) {
        return records.rows().services.values().stream()
                .map(service -> service.runners.get(runner))
                .anyMatch(row -> row != null && row.state != Rows.Runner.LEAVING);
    }

    private static CommandResult okWithBody(Object body) {
        var result = Records.ok();
        result.body = Codec.encode(body);
        return result;
    }

    private CommandResult planResult(Queries.PlanGet query) {
        var plan = records.rows().plans.get(query.plan);
        return plan == null ? Records.failure(ProblemKind.UNKNOWN_PLAN, "no plan " + query.plan) : okWithBody(plan);
    }

    /**
     * Proposes a manifest. One without a number of its own is validated first; one with a number was validated by its
     * sender.
     */
    private void putManifest(CommandRequest request, Commands.ManifestPut command) {
        var parsed = command.senderNumber > 0 ? null : ManifestReader.read(command.text);
        if (parsed != null && parsed.isLeft())
            reply(
                    request,
                    Records.failure(parsed.getLeft().kind(), parsed.getLeft().detail()));
        else proposeCommand(request, command, result -> reply(request, result));
    }

    /**
     * Handles a runner's heartbeat. Only a heartbeat that changes the runner's row is written to the log; the others
     * just update its load and the time of its last heartbeat. Heartbeats that arrive out of order are acknowledged and
     * ignored.
     */
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
                && (known.isUp() || known.state == Rows.Runner.LEAVING)
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
        if (service == null)
            reply(request, Records.failure(ProblemKind.UNKNOWN_SERVICE, "no service " + command.service));
        else if (cellIndex < 0 || !service.hasWeight(cellIndex))
            reply(
                    request,
                    Records.failure(
                            ProblemKind.BAD_FIELD, "service " + command.service + " has no cell " + command.cell));
        else if (isUnchanged) reply(request, Records.ok());
        else
            proposeCommand(request, command, result -> {
                if (result.kind == 0)
                    port.logEvent(
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
        status.appliedIndex = group.appliedIndex();
        var members = group.members();
        for (var i = 0; i < members.voters.length; i++)
            status.groupMembers.add(storeName(members.voters[i]) + " (" + members.zones[i] + ")");
        if (members.learnerId != 0)
            status.groupMembers.add(storeName(members.learnerId) + " (" + members.learnerZone + ", learner)");
        status.members.addAll(records.rows().members.values());
        status.services.addAll(records.rows().services.values());
        status.plans.addAll(records.rows().plans.values());
        status.manifest = records.rows().manifest;
        status.loadByRunner.putAll(loadByRunner);
        for (var serviceName : records.rows().services.keySet()) {
            var peaks = new PartStatus.LoadPeaks();
            peaks.service = serviceName;
            peaks.peakByMinute = loadHistory.peaksNewestFirst(serviceName);
            status.peaks.add(peaks);
        }
        status.claimCount = records.rows().claims.size();
        return okWithBody(status);
    }

    private String storeName(long storeId) {
        var node = directory.storeById(storeId);
        return node == null ? "unreached" : node.name;
    }

    /**
     * Reports which members have not confirmed a version of the manifest topic, and which of those are routers whose
     * lease, or the grace after it, may still run. With a zone given, only routers of that zone get a grace.
     */
    private CommandResult rolloutStatusResult(Queries.RolloutGet query, long now) {
        var status = new RolloutStatus();
        for (var member : records.rows().members.values()) {
            var reportedVersion = memberLeases.reportedVersion(member.node.name, Parts.MANIFEST_TOPIC);
            if (reportedVersion >= query.version
                    && !member.lapsed
                    && !memberLeases.earlierInstanceMayAct(member.node, now)) continue;
            status.unconfirmedMembers.add(member.node.name);
            var grace = query.zone.isEmpty() || member.node.zone.equals(query.zone) ? member.node.graceMicros : 0;
            if (member.node.isRouter() && memberLeases.mayStillAct(member.node, grace, now))
                status.routersStillActing.add(member.node.name);
        }
        return okWithBody(status);
    }

    /**
     * Grants or refuses a lease renewal as the leader. A member whose row is missing, lapsed or different is written
     * to the log first.
     */
    private void handleRenewal(Renewal renewal, long now, Consumer<RenewalReply> onReply) {
        if (!group.hasLease(now)) {
            var reply = newRenewalReply(renewal, ProblemKind.NOT_OWNER.code());
            reply.leader = otherLeader();
            onReply.accept(reply);
            return;
        }
        if (!renewal.leaving) pushStaleTopics(renewal, now);
        var member = records.rows().members.get(renewal.from.name);
        if (member != null) directory.recordReplacement(member.node, renewal.from);
        var outranking = findOutrankingNode(renewal.from, member);
        if (outranking != null) {
            var reply = newRenewalReply(renewal, ProblemKind.STALE_MEMBER.code());
            reply.incarnation = outranking.incarnation;
            reply.recordedMember = outranking;
            onReply.accept(reply);
        } else if (renewal.leaving) {
            removeMember(renewal, member);
        } else if (member == null
                || member.lapsed
                || member.node.incarnation != renewal.from.incarnation
                || !member.node.peerAddress.equals(renewal.from.peerAddress)
                || member.node.serving != renewal.from.serving
                || member.node.graceMicros != renewal.from.graceMicros
                || member.node.wireVersion != renewal.from.wireVersion
                || member.node.supportsIdentifiedCommands != renewal.from.supportsIdentifiedCommands
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

    /**
     * The incarnation that a renewal would have to outrank: the recorded member, else a node of this name that this
     * store has heard. Null if the sender may renew.
     */
    private Node findOutrankingNode(Node sender, Rows.Member member) {
        var known = member != null ? member.node : sender.sessionId == 0 ? null : directory.nodeByName(sender.name);
        if (known == null) return null;
        var isNewer = known.incarnation > sender.incarnation;
        return isNewer || member != null && known.incarnation == sender.incarnation && known.isOtherSession(sender)
                ? known
                : null;
    }

    private void removeMember(Renewal renewal, Rows.Member member) {
        if (member == null) return;
        var command = new Commands.MemberRemoved();
        command.name = renewal.from.name;
        command.incarnation = renewal.from.incarnation;
        propose(command);
    }

    private RenewalReply newRenewalReply(Renewal renewal, int kind) {
        var reply = new RenewalReply();
        reply.part = part;
        reply.kind = kind;
        reply.incarnation = renewal.from.incarnation;
        reply.sentAt = renewal.sentAt;
        return reply;
    }

    /**
     * Sends the topics that a new member does not have yet, or that a member has been behind on for a while, without
     * waiting for its subscription.
     */
    private void pushStaleTopics(Renewal renewal, long now) {
        pushedAtByTarget.values().removeIf(sentAt -> now - sentAt > PUSH_INTERVAL_MICROS);
        for (var topic : topicNames()) {
            var index = renewal.topics.indexOf(topic);
            var reportedVersion = index < 0 ? 0 : renewal.versions.get(index);
            if (index < 0 && renewal.membersVersion >= 0
                    || reportedVersion >= topicVersion(topic)
                    || reportedVersion > 0
                            && now - publishedAtByTopic.getOrDefault(topic, leaderSince)
                                    < STALE_TOPIC_PUSH_DELAY_MICROS) continue;
            if (pushedAtByTarget.putIfAbsent(renewal.from.peerAddress + " " + topic, now) == null)
                port.send(renewal.from.peerAddress, buildUpdate(topic));
        }
    }

    /** Records a renewal and its signals, and replies with the members if they changed and the topic versions. */
    private void grantRenewal(Renewal renewal, long now, Consumer<RenewalReply> onReply) {
        memberLeases.recordRenewal(renewal, now);
        for (var signal : renewal.signals)
            signalHistory.add(
                    signal.service, signal.cell, signal.startedAnswers, signal.failures, signal.firstTokenMicros, now);
        var reply = newRenewalReply(renewal, 0);
        reply.leader = directory.self();
        reply.graceMicros = renewal.from.graceMicros;
        reply.membersVersion = records.rows().membersVersion;
        if (reply.membersVersion != renewal.membersVersion)
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

    /** The topics of this part: one for each service, and the manifest topic on the manifest part. */
    private List<String> topicNames() {
        var names = new ArrayList<>(records.rows().services.keySet());
        if (part == Parts.MANIFEST_PART) names.add(Parts.MANIFEST_TOPIC);
        return names;
    }

    /** The current version of a topic; 0 if it is unknown. */
    private long topicVersion(String topic) {
        if (topic.equals(Parts.MANIFEST_TOPIC)) return records.rows().manifest.topicVersion;
        var service = records.rows().services.get(topic);
        return service == null ? 0 : service.topicVersion;
    }

    /** A message with the current version and content of a topic. */
    private TopicUpdate buildUpdate(String topic) {
        var update = new TopicUpdate();
        update.topic = topic;
        update.version = topicVersion(topic);
        update.body = Codec.encode(
                topic.equals(Parts.MANIFEST_TOPIC)
                        ? records.rows().manifest.copyForPublication()
                        : records.rows().services.get(topic));
        return update;
    }

    /** Adds or renews a subscription, and sends the topic if the subscriber has an older version. */
    private void addSubscriber(Subscription subscription, long now) {
        if (!group.hasLease(now) || topicVersion(subscription.topic) == 0) return;
        subscribersByTopic
                .computeIfAbsent(subscription.topic, topic -> new HashMap<>())
                .put(subscription.from.peerAddress, now);
        if (topicVersion(subscription.topic) > subscription.knownVersion)
            port.send(subscription.from.peerAddress, buildUpdate(subscription.topic));
    }

    /** Sends every topic that changed since the last call to its subscribers. */
    private void publishUpdates(long now) {
        if (!group.hasLease(now)) return;
        for (var topic : topicNames()) {
            var version = topicVersion(topic);
            if (publishedVersionByTopic.getOrDefault(topic, 0L) >= version) continue;
            publishedVersionByTopic.put(topic, version);
            publishedAtByTopic.put(topic, now);
            var subscribers = subscribersByTopic.getOrDefault(topic, Map.of());
            subscribers.values().removeIf(renewedAt -> now - renewedAt > SUBSCRIPTION_TTL_MICROS);
            if (subscribers.isEmpty()) continue;
            var update = buildUpdate(topic);
            subscribers.keySet().forEach(address -> port.send(address, update));
        }
    }

    /** Proposes to mark members whose lease has lapsed, and to remove those that lapsed long ago. */
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
        port.logEvent(Event.MEMBER_LEASE_LAPSED, member.node.name + " at part " + part);
        propose(command, result -> openProposalKeys.remove("lapse/" + command.name + "/" + command.incarnation));
    }

    private void proposeRemoval(Rows.Member member) {
        var command = new Commands.MemberRemoved();
        command.name = member.node.name;
        command.incarnation = member.node.incarnation;
        if (wasAlreadyProposed("gone/" + command.name)) return;
        propose(command, result -> openProposalKeys.remove("gone/" + command.name));
    }

    /** Whether a proposal with this key is open; if not, registers it as open. */
    private boolean wasAlreadyProposed(String key) {
        return !openProposalKeys.add(key);
    }

    /** Proposes to mark runners as dark whose last heartbeat is too old. */
    private void scanRunners(long now) {
        for (var service : records.rows().services.values())
            for (var runner : service.runners.values()) {
                var key = service.name + "/" + runner.name;
                var heardAt = runnerHeardAt.computeIfAbsent(key, absentKey -> now);
                if (!runner.isUp() || now - heardAt <= settings.darkAfterMicros() || wasAlreadyProposed("dark/" + key))
                    continue;
                var command = new Commands.RunnerMark();
                command.service = service.name;
                command.runner = runner.name;
                command.incarnation = runner.incarnation;
                command.state = Rows.Runner.DARK;
                port.logEvent(Event.RUNNER_DARK, key);
                propose(command, result -> openProposalKeys.remove("dark/" + key));
            }
    }

    /** Handles a request to join or leave, or the leader's answer to a request to leave. */
    private void handleJoin(Join request, long now) {
        if (request.isReply) plannedLeave.recordAnswer(request.mayStop, now);
        else if (group.hasLease(now) && request.leaving) handleLeaveRequest(request, now);
        else if (group.hasLease(now) && !group.members().isMember(request.from.storeId))
            membershipChanges.requestJoin(request.from.storeId, request.from.zone, now + JOIN_REQUEST_TTL_MICROS);
    }

    private void handleLeaveRequest(Join request, long now) {
        membershipChanges.announceLeave(request.from.storeId, now + JOIN_REQUEST_TTL_MICROS);
        var answer = new Join();
        answer.part = part;
        answer.from = directory.self();
        answer.isReply = true;
        answer.mayStop = membershipChanges.mayLeave(request.from.storeId, group.members(), leaderSince, now);
        port.send(request.from.peerAddress, answer);
    }

    /**
     * Whether this store, which has been stopping since {@code stoppingSince}, still has to stay for the sake of this
     * part.
     */
    public boolean isNeeded(long stoppingSince, long now) {
        return plannedLeave.isNeeded(
                stoppingSince, group.isReadyLeader(), group.hasLeaderContact(now, 2 * timing.electionTimeout()), now);
    }

    private void proposeMembershipChange(long now) {
        membershipChanges
                .nextChange(group.members(), leaderSince, now)
                .ifPresent(next -> group.changeMembers(next, now));
    }

    /** What this leader knows of the other stores of its group. */
    private final class GroupStoreStatus implements MembershipChanges.StoreStatus {
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

    /** The id of a voter in the zone; 0 if there is none. */
    private static long voterInZone(Members members, String zone) {
        for (var i = 0; i < members.voters.length; i++) if (members.zones[i].equals(zone)) return members.voters[i];
        return 0;
    }

    /**
     * Advances the replicated age if anything depends on it. Until a manifest is known, claims are kept for a day.
     */
    private void proposeAging(long now) {
        if (now - lastAgedAt < AGING_INTERVAL_MICROS) return;
        var rows = records.rows();
        var anyCellHeld = rows.services.values().stream().anyMatch(service -> !service.heldBackUntilAge.isEmpty());
        var anyRunnerEnded = settings.forgetAfterMicros() > 0
                && rows.services.values().stream()
                        .anyMatch(service -> service.runners.values().stream().anyMatch(runner -> !runner.isUp()));
        if (anyCellHeld || anyRunnerEnded || rows.claimsLost || !rows.claims.isEmpty() || !rows.quotas.isEmpty()) {
            var command = new Commands.AgeAdvance();
            command.elapsedMicros = now - lastAgedAt;
            command.runnerRetentionMicros = settings.forgetAfterMicros();
            var manifest = membership.view().manifest();
            command.claimRetentionMicros = manifest == null ? 86_400_000_000L : manifest.claimRetention();
            propose(command);
        }
        lastAgedAt = now;
    }

    /** Proposes to copy services of a newer manifest version into the rows of this part. */
    private void proposeServiceSyncs() {
        var view = membership.view();
        if (view.manifest() == null || part == Parts.MANIFEST_PART) return;
        for (var service : view.manifest().services().values()) {
            if (Parts.partOf(service.name()) != part) continue;
            var row = records.rows().services.get(service.name());
            if (row != null && row.manifestVersion >= view.manifestRow().version
                    || wasAlreadyProposed("sync/" + service.name())) continue;
            propose(
                    newServiceSync(service, view.manifest(), view.manifestRow().version),
                    result -> openProposalKeys.remove("sync/" + service.name()));
        }
    }

    private static Commands.ServiceSync newServiceSync(
            Manifest.Service service, Manifest manifest, long manifestVersion) {
        var command = new Commands.ServiceSync();
        command.service = service.name();
        command.manifestVersion = manifestVersion;
        command.weighedBySlots = service.weightedBySlots();
        command.boundRegionSets.addAll(manifest.routes().regionSetsOf(service.name()));
        command.regions.addAll(manifest.regions());
        for (var cell : service.cells()) {
            command.cells.add(cell.name());
            command.zones.add(cell.zone());
            command.cellRegions.add(manifest.regionOfZone(cell.zone()));
            command.weights.add(cell.weight());
        }
        return command;
    }

    /** Proposes the next step of moving units, at most one open proposal for each service. */
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
                .filter(Rows.Runner::isUp)
                .mapToInt(runner -> loadByRunner.getOrDefault(service.name + "/" + runner.name, 0))
                .sum();
    }

    /**
     * The next command for a service: the decision on a step under watch, a step to the wanted homes, or a displacement
     * of units from a full cell. Null if nothing is due. Members that cannot read step commands get plain table steps.
     */
    private Object nextStepCommand(Rows.Service service, Membership.CoreView view, long now) {
        var openCells = unitMover.openCells(service, view.manifestRow().marks, now);
        var stepMark = stepWatcher.nextDecision(service, signalHistory, openCells, now);
        if (stepMark != null) return stepMark;
        var step = unitMover.nextStep(
                service,
                view.manifest().service(service.name),
                view.manifestRow().marks,
                (cell, index) -> isZoneStoreSynced(service, cell, index, now),
                now);
        if (lowestWireVersion() < Node.STEPS_WIRE_VERSION)
            return step instanceof Commands.StepRequest stepAsk ? UnitMover.toTableStep(stepAsk) : step;
        return step != null ? step : pressureRelief.nextDisplacement(service, loadByRunner, openCells, now);
    }

    private int lowestWireVersion() {
        return records.rows().members.values().stream()
                .mapToInt(member -> member.node.wireVersion)
                .min()
                .orElse(0);
    }

    /** Logs a step or displacement that was applied. */
    private void logStep(String service, Object command) {
        var row = records.rows().services.get(service);
        if (command instanceof Commands.UnitDisplacement displacement)
            port.logEvent(
                    Event.CELL_LOAD_CHANGED,
                    service + " " + displacement.units.length + " units "
                            + (displacement.cells[0] < 0
                                    ? "may go back"
                                    : "to " + row.cells.get(displacement.cells[0])));
        if (!(command instanceof Commands.StepMark mark)) return;
        var step = row.findStep(mark.id);
        var detail = service + " step " + step.id + " " + step.units.length + " units to " + row.cells.get(step.toCell)
                + ": " + step.stateName() + ", " + step.cause + ", table version " + row.tableVersion;
        port.logEvent(
                mark.state == Rows.Step.TAKEN_BACK || mark.state == Rows.Step.DROPPED
                        ? Event.MOVE_STEP_CANCELLED
                        : Event.MOVE_STEP,
                detail);
    }

    /**
     * Whether the voter in the zone of a cell holds the log up to an index; also true if there is no voter or it is
     * silent.
     */
    private boolean isZoneStoreSynced(Rows.Service service, int cell, long index, long now) {
        var storeId = voterInZone(group.members(), service.zones.get(cell));
        return storeId == 0
                || storeId == directory.self().storeId
                || now - group.lastHeardAt(storeId) > REACHABLE_STORE_WINDOW_MICROS
                || group.matchIndexOf(storeId) >= index;
    }

    /** Transfers leadership to the preferred store once this leader has led for a while. */
    private void balanceLeaders(long now) {
        if (now - leaderSince < (timing.lowTraffic() ? LOW_TRAFFIC_BALANCE_DELAY_MICROS : timing.leaderSettleTime()))
            return;
        var members = group.members();
        var preferred = preferredLeader(members);
        if (membershipChanges.canTakeLeadership(preferred, members, now) && directory.storeById(preferred) != null)
            group.transferLeadership(preferred, now);
    }

    /**
     * The store that should lead this part, 0 if none: with the low-traffic profile the leader of the manifest part,
     * so that members renew all leases at one store; else a voter chosen by the number of the part.
     */
    private long preferredLeader(Members members) {
        if (!timing.lowTraffic()) return membershipChanges.preferredLeader(members, part);
        var manifestLeader = part == Parts.MANIFEST_PART ? null : membership.leader(Parts.MANIFEST_PART);
        return manifestLeader != null && members.isVoter(manifestLeader.storeId) ? manifestLeader.storeId : 0;
    }

    /** Transfers leadership to the best successor, if there is one. */
    private void transferLeadership(long now) {
        if (!group.isReadyLeader()) return;
        var successor = membershipChanges.selectSuccessor(group.members(), now);
        if (successor != 0) group.transferLeadership(successor, now);
    }
}
