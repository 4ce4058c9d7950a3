package craneway.sim.model;

import craneway.model.unit.TimingProfile;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;

/** The states from which the exhaustive explorations start. */
final class StartStates {
    /** Returns the same value each time, so that the state does not depend on the number of earlier draws. */
    private static final class ConstantRandom extends Random {
        private final double value;

        ConstantRandom(double value) {
            this.value = value;
        }

        @Override
        public double nextDouble() {
            return value;
        }
    }

    private StartStates() {}

    /** A world without random message faults, whose members draw the same election timeout each time. */
    static World createWorld(int voters, int slots, InjectedFault injectedFault, Set<Invariant> checked) {
        var setup = new World.Setup(
                voters, slots, TimingProfile.STANDARD, 1, 0, seed -> new ConstantRandom(seed / 1_000 * 0.1));
        return new World(setup, injectedFault, checked);
    }

    /** Three voters without injected faults, all invariants checked. */
    static World threeVoters() {
        return createWorld(3, 3, InjectedFault.NONE, EnumSet.allOf(Invariant.class));
    }

    /** Three members that have just started. */
    static Explorer.Start fresh() {
        return new Explorer.Start(
                "fresh",
                StartStates::threeVoters,
                List.of(Choice.of(Choice.Kind.ADVANCE, 160)),
                parseLimits("PROPOSE 1, RESTART 1, POWER 1, ADVANCE 3, REPEAT 1, FREEZE 1, CUT 1"),
                new int[] {160, 600},
                1_500);
    }

    /** A leader with one entry that all members hold; restarts and time may follow. */
    static Explorer.Start withLeader() {
        return new Explorer.Start(
                "led",
                StartStates::threeVoters,
                electLeader(StartStates.threeVoters()),
                parseLimits("PROPOSE 1, RESTART 2, POWER 1, ADVANCE 4, REPEAT 1, HAND_OVER 1, FREEZE 1, CUT 1"),
                new int[] {100, 400},
                1_500);
    }

    /** A leader whose followers have both been restarted while its own lease has nearly expired. */
    static Explorer.Start followersRestarted() {
        var choices = electLeader(StartStates.threeVoters());
        choices.add(Choice.of(Choice.Kind.ADVANCE, 600));
        choices.add(Choice.of(Choice.Kind.TICK, 1));
        for (var follower : new int[] {2, 3})
            choices.add(Choice.of(Choice.Kind.DELIVER, "1>" + follower + " APPEND#4"));
        choices.add(Choice.of(Choice.Kind.RESTART, 2));
        choices.add(Choice.of(Choice.Kind.RESTART, 3));
        return new Explorer.Start(
                "young",
                StartStates::threeVoters,
                choices,
                parseLimits("PROPOSE 2, ADVANCE 2, RESTART 1, REPEAT 1, FREEZE 1, CUT 1"),
                new int[] {110},
                1_500);
    }

    /** Like {@link #followersRestarted}, with the leader frozen: it has not received its followers' replies yet. */
    static Explorer.Start leaderFrozen() {
        var young = followersRestarted();
        young.choices().add(Choice.of(Choice.Kind.FREEZE, 1));
        return new Explorer.Start(
                "frozen", StartStates::threeVoters, young.choices(), parseLimits("CUT 1"), new int[] {}, 400);
    }

    /** Three voters and a fourth store that may join; a disk may be lost. */
    static Explorer.Start membershipChanging() {
        return new Explorer.Start(
                "changing",
                () -> createWorld(3, 4, InjectedFault.NONE, EnumSet.allOf(Invariant.class)),
                electLeader(createWorld(3, 4, InjectedFault.NONE, EnumSet.allOf(Invariant.class))),
                parseLimits("PROPOSE 1, POWER 1, LOSE 1, LEARN 1, PROMOTE 1, REMOVE 1, ADVANCE 3, FREEZE 1, CUT 1"),
                new int[] {100, 800},
                1_500);
    }

    /** The leader has been asked to transfer leadership to slot 2, and there is time for its message to arrive late. */
    static Explorer.Start leadershipTransferring() {
        var choices = electLeader(StartStates.threeVoters());
        choices.add(Choice.of(Choice.Kind.HAND_OVER, 1, 2));
        return new Explorer.Start(
                "handing",
                StartStates::threeVoters,
                choices,
                parseLimits("PROPOSE 1, RESTART 1, FREEZE 1, CUT 1"),
                new int[] {700},
                900);
    }

    /** A fourth store has caught up as a learner and is about to become a voter; a disk may be lost. */
    static Explorer.Start learnerPromoting() {
        var world = createWorld(3, 4, InjectedFault.NONE, EnumSet.allOf(Invariant.class));
        var choices = electLeader(world);
        step(world, choices, Choice.of(Choice.Kind.LEARN, 1, 4));
        deliverAll(world, choices);
        step(world, choices, Choice.of(Choice.Kind.PROMOTE, 1));
        return new Explorer.Start(
                "promoting",
                () -> createWorld(3, 4, InjectedFault.NONE, EnumSet.allOf(Invariant.class)),
                choices,
                parseLimits("PROPOSE 1, REMOVE 1, LOSE 1, POWER 1, CUT 1"),
                new int[] {800},
                900);
    }

    /** All starts. */
    static Stream<Explorer.Start> all() {
        return Stream.of(
                fresh(),
                withLeader(),
                followersRestarted(),
                leaderFrozen(),
                leadershipTransferring(),
                membershipChanging(),
                learnerPromoting());
    }

    /** Parses the limits of event kinds from a list such as {@code "PROPOSE 1, RESTART 2"}. */
    static Map<Choice.Kind, Integer> parseLimits(String text) {
        var limits = new EnumMap<Choice.Kind, Integer>(Choice.Kind.class);
        for (var item : text.split(", ")) {
            var words = item.split(" ");
            limits.put(Choice.Kind.valueOf(words[0]), Integer.parseInt(words[1]));
        }
        return limits;
    }

    /** Plays a history without faults until slot 1 leads and all members hold one entry, and returns its choices. */
    static List<Choice> electLeader(World world) {
        var choices = new ArrayList<Choice>();
        step(world, choices, Choice.of(Choice.Kind.ADVANCE, 160));
        step(world, choices, Choice.of(Choice.Kind.TICK, 1));
        deliverAll(world, choices);
        step(world, choices, Choice.of(Choice.Kind.PROPOSE, 1));
        deliverAll(world, choices);
        step(world, choices, Choice.of(Choice.Kind.ADVANCE, 600));
        step(world, choices, Choice.of(Choice.Kind.TICK, 1));
        deliverAll(world, choices);
        if (world.leader() != world.peer(1)) throw new IllegalStateException("slot 1 does not lead");
        return choices;
    }

    private static void deliverAll(World world, List<Choice> choices) {
        while (!world.messagesInFlight().isEmpty())
            step(
                    world,
                    choices,
                    Choice.of(
                            Choice.Kind.DELIVER, world.messagesInFlight().get(0).label()));
    }

    private static void step(World world, List<Choice> choices, Choice choice) {
        world.apply(choice);
        choices.add(choice);
    }
}
