package craneway.sim.model;

import craneway.model.unit.TimingProfile;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/** A long random history that depends on a seed alone. It is played on a world and ends with all faults repaired. */
final class RandomHistory {
    /**
     * The dimensions of a history.
     *
     * @param voters the number of voters at the start
     * @param slots the number of stores
     * @param length the number of choices
     * @param faultsPerThousand how many messages in a thousand are lost, how many duplicated and how many late
     * @param largeEntries whether half of the entries are so large that snapshots are taken
     * @param timing the timing of the group
     */
    record Size(int voters, int slots, int length, int faultsPerThousand, boolean largeEntries, TimingProfile timing) {
        static final Size FIVE_VOTERS = new Size(5, 6, 4_000, 5, false, TimingProfile.STANDARD);
        static final Size THREE_VOTERS = new Size(3, 4, 3_000, 8, false, TimingProfile.LOW_TRAFFIC);
        static final Size INJECTED_FAULT = new Size(3, 3, 600, 40, false, TimingProfile.STANDARD);
        static final Size SNAPSHOTS = new Size(3, 4, 400, 5, true, TimingProfile.STANDARD);
    }

    /** Size of an entry that soon makes a log due for a snapshot. */
    private static final int LARGE_ENTRY_BYTES = 900_000;

    /** Number of equally likely outcomes when a fault may be drawn; most of them are a plain round. */
    private static final int FAULT_DRAW_OUTCOMES = 120;

    /** Duration of each round after the last choice. */
    private static final int REST_ROUND_MILLIS = 20;

    /** Rounds after the last choice within which a leader must serve. */
    private static final int MAX_REST_ROUNDS = 1_000;

    /** Durations of rounds to draw from. */
    private static final int[] ROUND_MILLIS = {5, 10, 20, 50, 110};

    private final Size size;
    private final long seed;
    private final InjectedFault injectedFault;
    private final Set<Invariant> checked;

    RandomHistory(Size size, long seed, InjectedFault injectedFault, Set<Invariant> checked) {
        this.size = size;
        this.seed = seed;
        this.injectedFault = injectedFault;
        this.checked = checked;
    }

    /** A history without injected faults that checks every invariant. */
    static RandomHistory of(Size size, long seed) {
        return new RandomHistory(size, seed, InjectedFault.NONE, EnumSet.allOf(Invariant.class));
    }

    /** Draws the choices; the first 600 ms pass without a fault, so that a leader is elected. */
    List<Choice> draw() {
        var random = new Random(seed);
        var choices = new ArrayList<Choice>();
        for (var i = 0; i < 30; i++) choices.add(Choice.of(Choice.Kind.ROUND, 20));
        while (choices.size() < size.length()) choices.add(drawChoice(random));
        return choices;
    }

    private Choice drawChoice(Random random) {
        var slot = 1 + random.nextInt(size.slots());
        var other = 1 + random.nextInt(size.slots());
        var leader = random.nextInt(4) == 0 ? slot : 0;
        var draw = random.nextInt(100);
        if (draw < 70) return drawFaultFreeChoice(random, draw, leader);
        return drawFault(random, slot, other, leader);
    }

    private Choice drawFaultFreeChoice(Random random, int draw, int leader) {
        if (draw < 56) return Choice.of(Choice.Kind.ROUND, ROUND_MILLIS[random.nextInt(ROUND_MILLIS.length)]);
        return Choice.of(
                Choice.Kind.PROPOSE,
                leader,
                size.largeEntries() && random.nextInt(2) == 0 ? LARGE_ENTRY_BYTES : random.nextInt(40));
    }

    /** Draws a fault or its repair, or, in most cases, a plain round. */
    private static Choice drawFault(Random random, int slot, int other, int leader) {
        return switch (random.nextInt(FAULT_DRAW_OUTCOMES)) {
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
            case 42, 43, 44, 45, 46 -> Choice.of(Choice.Kind.FULL, slot, random.nextInt(8) / 7);
            default -> Choice.of(Choice.Kind.ROUND, 20);
        };
    }

    /**
     * Plays the choices, ends all faults, and waits until a leader serves that holds everything that was acknowledged.
     */
    World play(List<Choice> choices) {
        var world = createWorld();
        for (var choice : choices) world.apply(choice);
        recover(world);
        return world;
    }

    private World createWorld() {
        var setup = new World.Setup(
                size.voters(),
                size.slots(),
                size.timing(),
                seed,
                size.faultsPerThousand(),
                startNumber -> new Random(seed * 31 + startNumber));
        var world = new World(setup, injectedFault, checked);
        world.checker().setLogCheckInterval(8);
        return world;
    }

    /**
     * Ends all faults. Then a leader must hold its lease and apply all entries in time; at least 100 rounds pass to let
     * late messages arrive.
     */
    private void recover(World world) {
        world.apply(Choice.of(Choice.Kind.HEAL, 0));
        for (var peer : world.peers()) {
            world.apply(Choice.of(Choice.Kind.THAW, peer.slot()));
            world.apply(Choice.of(Choice.Kind.UP, peer.slot()));
            world.apply(Choice.of(Choice.Kind.FULL, peer.slot(), 0));
        }
        for (var i = 0; i < MAX_REST_ROUNDS; i++) {
            world.apply(Choice.of(Choice.Kind.ROUND, REST_ROUND_MILLIS));
            var peer = world.leader();
            if (peer == null || !peer.group().hasLease(world.now())) continue;
            if (i % 20 == 0) world.apply(Choice.of(Choice.Kind.MANAGE, 0));
            if (peer.group().appliedIndex() < peer.group().lastIndex() || i < 100) continue;
            world.checker().setLogCheckInterval(1);
            world.checker().check();
            world.checker().checkFinalLeader(peer);
            return;
        }
        if (checked.contains(Invariant.SERVES_AGAIN))
            throw new Violation(
                    Invariant.SERVES_AGAIN,
                    "no leader serves " + REST_ROUND_MILLIS * MAX_REST_ROUNDS + " ms after the last fault");
    }

    /** The violation that these choices lead to, or null. */
    Violation findViolation(List<Choice> choices) {
        try {
            play(choices);
            return null;
        } catch (Violation violation) {
            return violation;
        }
    }
}
