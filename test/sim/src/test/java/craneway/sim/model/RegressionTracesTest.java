package craneway.sim.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.state.part.Role;
import java.util.EnumSet;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Short histories that each violated an invariant before the fault was fixed. */
class RegressionTracesTest {
    private static void deliver(World world, String... labels) {
        for (var label : labels) world.apply(Choice.of(Choice.Kind.DELIVER, label));
    }

    /**
     * A leader whose lease expired without its noticing tells both voters, which have just restarted, that it does not
     * object to an election. When late acknowledgements arrive it must not regard its lease as valid again beside the
     * new leader.
     */
    @Test
    void aLeaderThatAllowedAnElectionDoesNotRegainItsLeaseByLateAcknowledgements() {
        var start = StartStates.followersRestarted();
        var world = start.world().get();
        start.choices().forEach(world::apply);
        for (var choice : List.of(Choice.of(Choice.Kind.ADVANCE, 110), Choice.of(Choice.Kind.TICK, 2)))
            world.apply(choice);
        deliver(
                world,
                "2>1 PRE_VOTE#1",
                "2>3 PRE_VOTE#1",
                "2>1 APPEND_REPLY#4",
                "1>2 PRE_VOTE_REPLY#1",
                "3>2 PRE_VOTE_REPLY#1");
        assertSame(Role.CANDIDATE, world.peer(2).group().role());
        deliver(world, "2>3 VOTE#1", "3>2 VOTE_REPLY#1", "2>3 APPEND#1", "3>2 APPEND_REPLY#1");
        assertSame(Role.LEADER, world.peer(2).group().role());
        assertNotSame(Role.LEADER, world.peer(1).group().role());
    }

    /**
     * A group of one store votes for itself at the tick. When its disk was full, the tick threw an exception.
     */
    @Test
    void aTickOfAGroupOfOneOnAFullDiskThrowsNothing() {
        var world = StartStates.createWorld(1, 1, InjectedFault.NONE, EnumSet.allOf(Invariant.class));
        world.apply(Choice.of(Choice.Kind.FULL, 1, 1));
        world.apply(Choice.of(Choice.Kind.ADVANCE, 2_000));
        world.apply(Choice.of(Choice.Kind.TICK, 1));
        assertSame(Role.DISK_FAILED, world.peer(1).group().role());
        world.apply(Choice.of(Choice.Kind.FULL, 1, 0));
        for (var i = 0; i < 4; i++) {
            world.apply(Choice.of(Choice.Kind.ADVANCE, 1_500));
            world.apply(Choice.of(Choice.Kind.TICK, 1));
        }
        assertSame(Role.LEADER, world.peer(1).group().role());
    }

    /**
     * A leader proposed a membership without itself. The other members accepted it, restarted and elected one of them
     * by themselves, while the old leader, whose vote was not needed any more, still held its lease.
     */
    @Test
    void aLeaderDoesNotRemoveItselfFromTheGroup() {
        var world = StartStates.threeVoters();
        StartStates.electLeader(StartStates.threeVoters()).forEach(world::apply);
        world.apply(Choice.of(Choice.Kind.ADVANCE, 100));
        var leader = world.peer(1);
        var accepted = leader.group().changeMembers(leader.group().members().without(1), world.now());
        leader.syncAndSend();
        world.apply(Choice.of(Choice.Kind.TICK, 1));
        deliver(world, "1>2 APPEND#4", "1>3 APPEND#4");
        for (var slot : new int[] {2, 3}) world.apply(Choice.of(Choice.Kind.RESTART, slot));
        world.apply(Choice.of(Choice.Kind.ADVANCE, 100));
        world.apply(Choice.of(Choice.Kind.TICK, 2));
        deliver(world, "2>3 PRE_VOTE#1", "3>2 PRE_VOTE_REPLY#1", "2>3 VOTE#1", "3>2 VOTE_REPLY#1");
        deliver(world, "2>3 APPEND#1", "3>2 APPEND_REPLY#1");
        assertFalse(accepted);
        assertTrue(leader.group().hasLease(world.now()));
    }

    @Test
    void theSameHistoryLeadsToTheSameState() {
        var start = StartStates.learnerPromoting();
        var first = start.world().get();
        var second = start.world().get();
        for (var choice : start.choices()) {
            first.apply(choice);
            second.apply(choice);
            assertEquals(StateHash.of(first), StateHash.of(second), choice::toString);
        }
    }
}
