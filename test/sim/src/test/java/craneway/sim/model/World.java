package craneway.sim.model;

import craneway.model.unit.TimingProfile;
import craneway.state.part.Members;
import craneway.state.part.PartMessage;
import craneway.state.part.Role;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.IntFunction;

/** Members of one consensus group on simulated disks, clock and network; every change to it is a {@link Choice}. */
final class World {
    static final int PART = 0;
    static final long CORE_ID = 9;

    /**
     * The properties of a world.
     *
     * @param voters the number of voters at the start
     * @param slots the number of stores
     * @param timing the timing of the group
     * @param faultsPerThousand how many messages in a thousand are lost, how many duplicated and how many late
     * @param randomFactory creates a member's source of randomness from its slot and the number of its starts
     */
    record Setup(
            int voters,
            int slots,
            TimingProfile timing,
            long seed,
            int faultsPerThousand,
            IntFunction<Random> randomFactory) {}

    private final Setup setup;
    private final InjectedFault injectedFault;
    private final InvariantChecker checker;
    private final List<Peer> peers = new ArrayList<>();
    private final Map<Long, Integer> slotById = new HashMap<>();
    private final Map<String, Integer> countByLink = new HashMap<>();
    private final List<InFlightMessage> messagesInFlight = new ArrayList<>();
    private final Set<String> postponedLabels = new HashSet<>();
    private final Set<Integer> tickedSlots = new HashSet<>();
    private final Set<Integer> cutLinks = new HashSet<>();
    private final Network network;
    private final MembershipManager membershipManager;
    private long nowMicros = 1_000_000;
    private long proposalCount;

    World(Setup setup, InjectedFault injectedFault, Set<Invariant> checked) {
        this.setup = setup;
        this.injectedFault = injectedFault;
        checker = new InvariantChecker(this, checked);
        network = new Network(setup.seed(), setup.faultsPerThousand());
        membershipManager = new MembershipManager(this);
        var ids = new long[setup.voters()];
        var zones = new String[setup.voters()];
        for (var i = 0; i < ids.length; i++) {
            ids[i] = i + 1;
            zones[i] = "z" + (i + 1);
        }
        for (var slot = 1; slot <= setup.slots(); slot++) {
            var peer = new Peer(this, slot, slot <= ids.length ? Members.of(ids, zones) : new Members());
            peers.add(peer);
            slotById.put(peer.id(), slot);
            start(peer);
        }
    }

    Setup setup() {
        return setup;
    }

    TimingProfile timing() {
        return setup.timing();
    }

    InjectedFault injectedFault() {
        return injectedFault;
    }

    InvariantChecker checker() {
        return checker;
    }

    MembershipManager membershipManager() {
        return membershipManager;
    }

    long now() {
        return nowMicros;
    }

    List<Peer> peers() {
        return peers;
    }

    Peer peer(int slot) {
        return peers.get(slot - 1);
    }

    List<InFlightMessage> messagesInFlight() {
        return messagesInFlight;
    }

    /** Labels of the messages that are delivered only by an explicit choice. */
    Set<String> postponedLabels() {
        return postponedLabels;
    }

    /** The cut links, each as 100 times the sender's slot plus the receiver's slot; what is sent over them is lost. */
    Set<Integer> cutLinks() {
        return cutLinks;
    }

    /** The slots that have ticked at the current time. */
    Set<Integer> tickedSlots() {
        return tickedSlots;
    }

    /** Whether the disk that belonged to this member id was lost. */
    boolean isDiskLost(long id) {
        return peer(slotById.get(id)).id() != id;
    }

    /** The peer with this member id, or null if its disk was lost. */
    Peer peerWithId(long id) {
        return isDiskLost(id) ? null : peer(slotById.get(id));
    }

    /** Sends a message through the network, after the injected fault had its turn. */
    void send(Peer sender, PartMessage message) {
        var sent = injectedFault.replaceSent(sender.slot(), message);
        var receiverSlot = slotById.get(message.to);
        if (sent == null || receiverSlot == null) return;
        checker.recordSent(sender, sent);
        var link = sender.slot() + ">" + receiverSlot + " " + name(sent.kind);
        var label = link + "#" + countByLink.merge(link, 1, Integer::sum);
        if (cutLinks.contains(sender.slot() * 100 + receiverSlot)) return;
        for (var arrivesAt : network.arrivals(label, nowMicros))
            messagesInFlight.add(new InFlightMessage(label, sender.slot(), receiverSlot, sent, arrivesAt));
    }

    private static String name(int kind) {
        return switch (kind) {
            case PartMessage.PRE_VOTE -> "PRE_VOTE";
            case PartMessage.PRE_VOTE_REPLY -> "PRE_VOTE_REPLY";
            case PartMessage.VOTE -> "VOTE";
            case PartMessage.VOTE_REPLY -> "VOTE_REPLY";
            case PartMessage.APPEND -> "APPEND";
            case PartMessage.APPEND_REPLY -> "APPEND_REPLY";
            case PartMessage.SNAPSHOT -> "SNAPSHOT";
            case PartMessage.TIMEOUT_NOW -> "TIMEOUT_NOW";
            default -> "KIND" + kind;
        };
    }

    /** Performs a choice as far as it applies to the current state, and checks every invariant. */
    void apply(Choice choice) {
        try {
            step(choice);
            checker.check();
        } catch (Violation violation) {
            throw violation;
        } catch (RuntimeException e) {
            throw new Violation(Invariant.PROBLEMS_ARE_CONTAINED, e + " at " + e.getStackTrace()[0]);
        }
    }

    private void step(Choice choice) {
        switch (choice.kind()) {
            case ADVANCE -> {
                nowMicros += choice.argument() * 1_000L;
                tickedSlots.clear();
            }
            case POSTPONE -> postponedLabels.add(choice.label());
            case DELIVER, REPEAT -> deliver(choice);
            case ROUND -> round(choice.argument() * 1_000L);
            case CUT -> cutLinks.add(choice.argument() * 100 + choice.secondArgument());
            case HEAL -> cutLinks.clear();
            case MANAGE -> membershipManager.performNextChange();
            default -> {
                var peer = choice.argument() == 0 ? leader() : peer(choice.argument());
                if (peer != null) applyTo(peer, choice);
            }
        }
    }

    private void applyTo(Peer peer, Choice choice) {
        switch (choice.kind()) {
            case TICK -> tick(peer);
            case PROPOSE -> propose(peer, choice.secondArgument());
            case RESTART -> restart(peer);
            case POWER -> losePower(peer);
            case LOSE -> loseDisk(peer);
            case LEARN, PROMOTE, REMOVE, HAND_OVER -> membershipManager.changeMembership(peer, choice);
            case FREEZE -> peer.setFrozen(peer.isUp());
            case THAW -> peer.setFrozen(false);
            case DOWN -> peer.stop();
            case UP -> start(peer);
            case FULL -> peer.disk().setFull(choice.secondArgument() == 1);
            default -> throw new IllegalArgumentException(choice.toString());
        }
    }

    private void tick(Peer peer) {
        if (!peer.isRunning()) return;
        tickedSlots.add(peer.slot());
        peer.tick();
        peer.syncAndSend();
    }

    private void propose(Peer peer, int extraBytes) {
        if (!peer.isRunning()) return;
        var body = new byte[8 + extraBytes];
        body[0] = (byte) ++proposalCount;
        body[1] = (byte) (proposalCount >> 8);
        body[2] = (byte) peer.slot();
        var index = peer.group().propose(body, nowMicros);
        if (index > 0) checker.recordProposed(peer, index);
        peer.syncAndSend();
    }

    private void restart(Peer peer) {
        peer.stop();
        start(peer);
    }

    private void losePower(Peer peer) {
        peer.losePower();
        start(peer);
    }

    private void loseDisk(Peer peer) {
        if (!membershipManager.mayLoseDisk(peer)) return;
        peer.loseDisk(peer.id() + 100);
        slotById.put(peer.id(), peer.slot());
        start(peer);
    }

    private void start(Peer peer) {
        if (peer.isUp()) return;
        checker.checkBeforeStart(peer);
        peer.start(setup.randomFactory().apply(peer.slot() * 1_000 + peer.startCount()));
    }

    private void deliver(Choice choice) {
        for (var message : messagesInFlight) {
            if (!message.label().equals(choice.label())) continue;
            if (!peer(message.to()).isRunning()) return;
            if (choice.kind() == Choice.Kind.DELIVER) messagesInFlight.remove(message);
            else postponedLabels.add(message.label());
            receive(message);
            return;
        }
    }

    private void receive(InFlightMessage message) {
        var receiver = peer(message.to());
        receiver.group().receive(injectedFault.replaceReceived(message.to(), message.message()), nowMicros);
        receiver.syncAndSend();
    }

    /**
     * Advances time. Each running member ticks and receives the messages that are due, in the order of arrival; the
     * network decides which of the two comes first.
     */
    private void round(long micros) {
        nowMicros += micros;
        for (var peer : peers) if (network.ticksFirst(peer.slot(), nowMicros)) tick(peer);
        for (var message = nextDue(); message != null; message = nextDue()) {
            messagesInFlight.remove(message);
            if (peer(message.to()).isUp()) receive(message);
            checker.check();
        }
        for (var peer : peers) if (!network.ticksFirst(peer.slot(), nowMicros)) tick(peer);
    }

    /** The due message with the earliest arrival, or null; messages to frozen members wait. */
    private InFlightMessage nextDue() {
        InFlightMessage earliest = null;
        for (var message : messagesInFlight)
            if (message.arrivesAt() <= nowMicros
                    && !peer(message.to()).isFrozen()
                    && (earliest == null || message.arrivesAt() < earliest.arrivesAt())) earliest = message;
        return earliest;
    }

    /** The running leader of the highest term, or null. */
    Peer leader() {
        Peer newest = null;
        for (var peer : peers) {
            if (!peer.isRunning() || peer.group().role() != Role.LEADER) continue;
            if (newest == null || peer.group().term() > newest.group().term()) newest = peer;
        }
        return newest;
    }
}
