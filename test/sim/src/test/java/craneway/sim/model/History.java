package craneway.sim.model;

import craneway.model.unit.TimingProfile;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/** A long random history: drawn from a seed alone, played on a world, and brought to rest at its end. */
final class History {
    /** How large: voters, stores, choices, how noisy, and how often an entry is so large that snapshots are taken. */
    record Size(int voters, int slots, int length, int noise, boolean large, TimingProfile pace) {
        static final Size FIVE = new Size(5, 6, 4_000, 5, false, TimingProfile.STANDARD);
        static final Size THREE = new Size(3, 4, 3_000, 8, false, TimingProfile.LOW_TRAFFIC);
        static final Size PLANTED = new Size(3, 3, 600, 40, false, TimingProfile.STANDARD);
        static final Size SNAPSHOTS = new Size(3, 4, 400, 5, true, TimingProfile.STANDARD);
    }

    private static final int LARGE = 900_000;
    private static final int TROUBLES = 120;
    private static final int REST = 20;
    private static final int RESTS = 1_000;
    private static final int[] ROUNDS = {5, 10, 20, 50, 110};

    private final Size size;
    private final long seed;
    private final Plant plant;
    private final Set<Invariant> checked;

    History(Size size, long seed, Plant plant, Set<Invariant> checked) {
        this.size = size;
        this.seed = seed;
        this.plant = plant;
        this.checked = checked;
    }

    static History of(Size size, long seed) {
        return new History(size, seed, Plant.NONE, EnumSet.allOf(Invariant.class));
    }

    List<Choice> draw() {
        var r = new Random(seed);
        var all = new ArrayList<Choice>();
        for (var i = 0; i < 30; i++) all.add(Choice.of(Choice.Kind.ROUND, 20));
        while (all.size() < size.length()) all.add(next(r));
        return all;
    }

    private Choice next(Random r) {
        var slot = 1 + r.nextInt(size.slots());
        var other = 1 + r.nextInt(size.slots());
        var leader = r.nextInt(4) == 0 ? slot : 0;
        var x = r.nextInt(100);
        if (x < 70) return quiet(r, x, leader);
        return trouble(r, slot, other, leader);
    }

    private Choice quiet(Random r, int x, int leader) {
        if (x < 56) return Choice.of(Choice.Kind.ROUND, ROUNDS[r.nextInt(ROUNDS.length)]);
        return Choice.of(Choice.Kind.PROPOSE, leader, size.large() && r.nextInt(2) == 0 ? LARGE : r.nextInt(40));
    }

    /** Mostly what is there anyway, and now and then, by a draw of its own, one kind of trouble. */
    private static Choice trouble(Random r, int slot, int other, int leader) {
        return switch (r.nextInt(TROUBLES)) {
            case 0, 1, 2, 3 -> Choice.of(Choice.Kind.CUT, slot, other);
            case 4, 5, 6 -> Choice.of(Choice.Kind.HEAL, 0);
            case 7, 8, 9 -> Choice.of(Choice.Kind.FREEZE, slot);
            case 10, 11, 12, 13, 14, 15, 16, 17, 18 -> Choice.of(Choice.Kind.THAW, slot);
            case 19, 20 -> Choice.of(Choice.Kind.RESTART, slot);
            case 21, 22 -> Choice.of(Choice.Kind.POWER, slot);
            case 23 -> Choice.of(Choice.Kind.DOWN, slot);
            case 24, 25, 26, 27, 28 -> Choice.of(Choice.Kind.UP, slot);
            case 29, 30 -> Choice.of(Choice.Kind.LOSE, slot);
            case 31, 32, 33, 34, 35, 36 -> Choice.of(Choice.Kind.MANAGE, 0);
            case 37, 38 -> Choice.of(Choice.Kind.HAND_OVER, leader, other);
            case 39 -> Choice.of(Choice.Kind.LEARN, leader, other);
            case 40 -> Choice.of(Choice.Kind.PROMOTE, leader);
            case 41 -> Choice.of(Choice.Kind.REMOVE, leader, other);
            case 42, 43, 44, 45, 46 -> Choice.of(Choice.Kind.FULL, slot, r.nextInt(8) / 7);
            default -> Choice.of(Choice.Kind.ROUND, 20);
        };
    }

    /** Plays the choices, ends all trouble, and waits until a leader serves again with all that was acknowledged. */
    World play(List<Choice> choices) {
        var w = world();
        for (var c : choices) w.apply(c);
        rest(w);
        return w;
    }

    private World world() {
        var shape = new World.Shape(
                size.voters(), size.slots(), size.pace(), seed, size.noise(), n -> new Random(seed * 31 + n));
        var w = new World(shape, plant, checked);
        w.ledger().stride(8);
        return w;
    }

    private void rest(World w) {
        w.apply(Choice.of(Choice.Kind.HEAL, 0));
        for (var p : w.peers()) {
            w.apply(Choice.of(Choice.Kind.THAW, p.slot()));
            w.apply(Choice.of(Choice.Kind.UP, p.slot()));
            w.apply(Choice.of(Choice.Kind.FULL, p.slot(), 0));
        }
        for (var i = 0; i < RESTS; i++) {
            w.apply(Choice.of(Choice.Kind.ROUND, REST));
            var p = w.leader();
            if (p == null || !p.group().hasLease(w.now())) continue;
            if (i % 20 == 0) w.apply(Choice.of(Choice.Kind.MANAGE, 0));
            if (p.group().appliedIndex() < p.group().lastIndex() || i < 100) continue;
            w.ledger().stride(1);
            w.ledger().check();
            w.ledger().checkEnd(p);
            return;
        }
        if (checked.contains(Invariant.SERVES_AGAIN))
            throw new Violation(Invariant.SERVES_AGAIN, "no leader serves " + REST * RESTS + " ms after all trouble");
    }

    /** The breach that these choices lead to, or null. */
    Violation breach(List<Choice> choices) {
        try {
            play(choices);
            return null;
        } catch (Violation v) {
            return v;
        }
    }
}
