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

/** Members of one agreement group on simulated disks, clock and network; every change of it is a {@link Placement}. */
final class World {
    static final int PART = 0;
    static final long CORE = 9;

    /** What a world is made of; the noise is how many in a thousand messages are lost, doubled or late. */
    record Shape(int voters, int slots, TimingProfile pace, long seed, int noise, IntFunction<Random> randoms) {}

    private final Shape shape;
    private final Plant plant;
    private final Ledger ledger;
    private final List<Peer> peers = new ArrayList<>();
    private final Map<Long, Integer> slots = new HashMap<>();
    private final Map<String, Integer> labels = new HashMap<>();
    private final List<Letter> mail = new ArrayList<>();
    private final Set<String> late = new HashSet<>();
    private final Set<Integer> ticked = new HashSet<>();
    private final Set<Integer> cuts = new HashSet<>();
    private final Network network;
    private final Steward steward;
    private long now = 1_000_000;
    private long proposals;

    World(Shape shape, Plant plant, Set<Invariant> checked) {
        this.shape = shape;
        this.plant = plant;
        ledger = new Ledger(this, checked);
        network = new Network(shape.seed(), shape.noise());
        steward = new Steward(this);
        var ids = new long[shape.voters()];
        var zones = new String[shape.voters()];
        for (var i = 0; i < ids.length; i++) {
            ids[i] = i + 1;
            zones[i] = "z" + (i + 1);
        }
        for (var slot = 1; slot <= shape.slots(); slot++) {
            var peer = new Peer(this, slot, slot <= ids.length ? Members.of(ids, zones) : new Members());
            peers.add(peer);
            slots.put(peer.id(), slot);
            start(peer);
        }
    }

    Shape shape() {
        return shape;
    }

    TimingProfile pace() {
        return shape.pace();
    }

    Plant plant() {
        return plant;
    }

    Ledger ledger() {
        return ledger;
    }

    Steward steward() {
        return steward;
    }

    long now() {
        return now;
    }

    List<Peer> peers() {
        return peers;
    }

    Peer peer(int slot) {
        return peers.get(slot - 1);
    }

    List<Letter> mail() {
        return mail;
    }

    /** Labels of the letters that come only when someone chooses so. */
    Set<String> late() {
        return late;
    }

    /** Hundred times the sender's slot, and the receiver's: what is sent there is lost. */
    Set<Integer> cuts() {
        return cuts;
    }

    /** The slots that have looked at their clock at this very moment. */
    Set<Integer> ticked() {
        return ticked;
    }

    boolean lost(long id) {
        return peer(slots.get(id)).id() != id;
    }

    Peer holder(long id) {
        return lost(id) ? null : peer(slots.get(id));
    }

    void post(Peer from, PartMessage message) {
        var m = plant.sent(from.slot(), message);
        var to = slots.get(message.to);
        if (m == null || to == null) return;
        ledger.sent(from, m);
        var link = from.slot() + ">" + to + " " + name(m.kind);
        var label = link + "#" + labels.merge(link, 1, Integer::sum);
        if (cuts.contains(from.slot() * 100 + to)) return;
        for (var at : network.arrivals(label, now)) mail.add(new Letter(label, from.slot(), to, m, at));
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

    /** Does one choice, as far as it still makes sense, and checks every invariant. */
    void apply(Choice c) {
        try {
            step(c);
            ledger.check();
        } catch (Violation v) {
            throw v;
        } catch (RuntimeException e) {
            throw new Violation(Invariant.PROBLEMS_ARE_CONTAINED, e + " at " + e.getStackTrace()[0]);
        }
    }

    private void step(Choice c) {
        switch (c.kind()) {
            case ADVANCE -> {
                now += c.a() * 1_000L;
                ticked.clear();
            }
            case POSTPONE -> late.add(c.label());
            case DELIVER, REPEAT -> deliver(c);
            case ROUND -> round(c.a() * 1_000L);
            case CUT -> cuts.add(c.a() * 100 + c.b());
            case HEAL -> cuts.clear();
            case MANAGE -> steward.manage();
            default -> {
                var p = c.a() == 0 ? leader() : peer(c.a());
                if (p != null) applyTo(p, c);
            }
        }
    }

    private void applyTo(Peer p, Choice c) {
        switch (c.kind()) {
            case TICK -> tick(p);
            case PROPOSE -> propose(p, c.b());
            case RESTART -> restart(p);
            case POWER -> losePower(p);
            case LOSE -> loseDisk(p);
            case LEARN, PROMOTE, REMOVE, HAND_OVER -> steward.change(p, c);
            case FREEZE -> p.freeze(p.up());
            case THAW -> p.freeze(false);
            case DOWN -> p.stop();
            case UP -> start(p);
            case FULL -> p.disk().full(c.b() == 1);
            default -> throw new IllegalArgumentException(c.toString());
        }
    }

    private void tick(Peer p) {
        if (!p.runs()) return;
        ticked.add(p.slot());
        p.tick();
        p.settle();
    }

    private void propose(Peer p, int bytes) {
        if (!p.runs()) return;
        var body = new byte[8 + bytes];
        body[0] = (byte) ++proposals;
        body[1] = (byte) (proposals >> 8);
        body[2] = (byte) p.slot();
        var index = p.group().propose(body, now);
        if (index > 0) ledger.proposed(p, index);
        p.settle();
    }

    private void restart(Peer p) {
        p.stop();
        start(p);
    }

    private void losePower(Peer p) {
        p.losePower();
        start(p);
    }

    private void loseDisk(Peer p) {
        if (!steward.mayLose(p)) return;
        p.loseDisk(p.id() + 100);
        slots.put(p.id(), p.slot());
        start(p);
    }

    private void start(Peer p) {
        if (p.up()) return;
        ledger.starting(p);
        p.start(shape.randoms().apply(p.slot() * 1_000 + p.lives()));
    }

    private void deliver(Choice c) {
        for (var l : mail) {
            if (!l.label().equals(c.label())) continue;
            if (!peer(l.to()).runs()) return;
            if (c.kind() == Choice.Kind.DELIVER) mail.remove(l);
            else late.add(l.label());
            hand(l);
            return;
        }
    }

    private void hand(Letter l) {
        var p = peer(l.to());
        p.group().receive(plant.received(l.to(), l.message()), now);
        p.settle();
    }

    /** Time goes on; whoever runs looks at its clock, then takes what has come, in the order of its coming. */
    private void round(long micros) {
        now += micros;
        for (var p : peers) if (network.ticksFirst(p.slot(), now)) tick(p);
        for (var l = nextDue(); l != null; l = nextDue()) {
            mail.remove(l);
            if (peer(l.to()).up()) hand(l);
            ledger.check();
        }
        for (var p : peers) if (!network.ticksFirst(p.slot(), now)) tick(p);
    }

    private Letter nextDue() {
        Letter best = null;
        for (var l : mail)
            if (l.at() <= now && !peer(l.to()).frozen() && (best == null || l.at() < best.at())) best = l;
        return best;
    }

    /** The leader of the highest term among those that run. */
    Peer leader() {
        Peer best = null;
        for (var p : peers) {
            if (!p.runs() || p.group().role() != Role.LEADER) continue;
            if (best == null || p.group().term() > best.group().term()) best = p;
        }
        return best;
    }
}
