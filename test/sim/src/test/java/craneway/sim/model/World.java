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
    static final long CORE = 9;

    /**
     * The properties of a world.
     *
     * @param voters the number of voters at the start
     * @param slots the number of stores
     * @param pace the timing of the group
     * @param noise how many messages in a thousand are lost, how many duplicated and how many late
     * @param randoms creates a member's source of randomness from its slot and the number of its starts
     */
    record Shape(int voters, int slots, TimingProfile pace, long seed, int noise, IntFunction<Random> randoms) {}

    private final Shape setup;
    private final Plant injectedFault;
    private final Ledger ledger;
    private final List<Peer> peers = new ArrayList<>();
    private final Map<Long, Integer> slotById = new HashMap<>();
    private final Map<String, Integer> countByLink = new HashMap<>();
    private final List<Letter> messagesInFlight = new ArrayList<>();
    private final Set<String> postponedLabels = new HashSet<>();
    private final Set<Integer> tickedSlots = new HashSet<>();
    private final Set<Integer> cutLinks = new HashSet<>();
    private final Network network;
    private final Steward steward;
    private long nowMicros = 1_000_000;
    private long proposalCount;

    World(Shape setup, Plant injectedFault, Set<Invariant> checked) {
        this.setup = setup;
        this.injectedFault = injectedFault;
        ledger = new Ledger(this, checked);
        network = new Network(setup.seed(), setup.noise());
        steward = new Steward(this);
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

    Shape shape() {
        return setup;
    }

    TimingProfile pace() {
        return setup.pace();
    }

    Plant plant() {
        return injectedFault;
    }

    Ledger ledger() {
        return ledger;
    }

    Steward steward() {
        return steward;
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

    List<Letter> mail() {
        return messagesInFlight;
    }

    /** Labels of the messages that are delivered only by an explicit choice. */
    Set<String> late() {
        return postponedLabels;
    }

    /** The cut links, each as 100 times the sender's slot plus the receiver's slot; what is sent over them is lost. */
    Set<Integer> cuts() {
        return cutLinks;
    }

    /** The slots that have ticked at the current time. */
    Set<Integer> ticked() {
        return tickedSlots;
    }

    /** Whether the disk that belonged to this member id was lost. */
    boolean lost(long id) {
        return peer(slotById.get(id)).id() != id;
    }

    /** The peer with this member id, or null if its disk was lost. */
    Peer holder(long id) {
        return lost(id) ? null : peer(slotById.get(id));
    }

    /** Sends a message through the network, after the injected fault had its turn. */
    void post(Peer sender, PartMessage message) {
        var sent = injectedFault.sent(sender.slot(), message);
        var receiverSlot = slotById.get(message.to);
        if (sent == null || receiverSlot == null) return;
        ledger.recordSent(sender, sent);
        var link = sender.slot() + ">" + receiverSlot + " " + name(sent.kind);
        var label = link + "#" + countByLink.merge(link, 1, Integer::sum);
        if (cutLinks.contains(sender.slot() * 100 + receiverSlot)) return;
        for (var arrivesAt : network.arrivals(label, nowMicros))
            messagesInFlight.add(new Letter(label, sender.slot(), receiverSlot, sent, arrivesAt));
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
            ledger.check();
        } catch (Violation violation) {
            throw violation;
        } catch (RuntimeException e) {
            throw new Violation(Invariant.PROBLEMS_ARE_CONTAINED, e + " at " + e.getStackTrace()[0]);
        }
    }

    private void step(Choice choice) {
        switch (choice.kind()) {
            case ADVANCE -> {
                nowMicros += choice.a() * 1_000L;
                tickedSlots.clear();
            }
            case POSTPONE -> postponedLabels.add(choice.label());
            case DELIVER, REPEAT -> deliver(choice);
            case ROUND -> round(choice.a() * 1_000L);
            case CUT -> cutLinks.add(choice.a() * 100 + choice.b());
            case HEAL -> cutLinks.clear();
            case MANAGE -> steward.manage();
            default -> {
                var peer = choice.a() == 0 ? leader() : peer(choice.a());
                if (peer != null) applyTo(peer, choice);
            }
        }
    }

    private void applyTo(Peer peer, Choice choice) {
        switch (choice.kind()) {
            case TICK -> tick(peer);
            case PROPOSE -> propose(peer, choice.b());
            case RESTART -> restart(peer);
            case POWER -> losePower(peer);
            case LOSE -> loseDisk(peer);
            case LEARN, PROMOTE, REMOVE, HAND_OVER -> steward.change(peer, choice);
            case FREEZE -> peer.freeze(peer.up());
            case THAW -> peer.freeze(false);
            case DOWN -> peer.stop();
            case UP -> start(peer);
            case FULL -> peer.disk().full(choice.b() == 1);
            default -> throw new IllegalArgumentException(choice.toString());
        }
    }

    private void tick(Peer peer) {
        if (!peer.runs()) return;
        tickedSlots.add(peer.slot());
        peer.tick();
        peer.settle();
    }

    private void propose(Peer peer, int extraBytes) {
        if (!peer.runs()) return;
        var body = new byte[8 + extraBytes];
        body[0] = (byte) ++proposalCount;
        body[1] = (byte) (proposalCount >> 8);
        body[2] = (byte) peer.slot();
        var index = peer.group().propose(body, nowMicros);
        if (index > 0) ledger.recordProposed(peer, index);
        peer.settle();
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
        if (!steward.mayLose(peer)) return;
        peer.loseDisk(peer.id() + 100);
        slotById.put(peer.id(), peer.slot());
        start(peer);
    }

    private void start(Peer peer) {
        if (peer.up()) return;
        ledger.checkBeforeStart(peer);
        peer.start(setup.randoms().apply(peer.slot() * 1_000 + peer.lives()));
    }

    private void deliver(Choice choice) {
        for (var message : messagesInFlight) {
            if (!message.label().equals(choice.label())) continue;
            if (!peer(message.to()).runs()) return;
            if (choice.kind() == Choice.Kind.DELIVER) messagesInFlight.remove(message);
            else postponedLabels.add(message.label());
            receive(message);
            return;
        }
    }

    private void receive(Letter message) {
        var receiver = peer(message.to());
        receiver.group().receive(injectedFault.received(message.to(), message.message()), nowMicros);
        receiver.settle();
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
            if (peer(message.to()).up()) receive(message);
            ledger.check();
        }
        for (var peer : peers) if (!network.ticksFirst(peer.slot(), nowMicros)) tick(peer);
    }

    /** The due message with the earliest arrival, or null; messages to frozen members wait. */
    private Letter nextDue() {
        Letter earliest = null;
        for (var message : messagesInFlight)
            if (message.at() <= nowMicros
                    && !peer(message.to()).frozen()
                    && (earliest == null || message.at() < earliest.at())) earliest = message;
        return earliest;
    }

    /** The running leader of the highest term, or null. */
    Peer leader() {
        Peer newest = null;
        for (var peer : peers) {
            if (!peer.runs() || peer.group().role() != Role.LEADER) continue;
            if (newest == null || peer.group().term() > newest.group().term()) newest = peer;
        }
        return newest;
    }
}
