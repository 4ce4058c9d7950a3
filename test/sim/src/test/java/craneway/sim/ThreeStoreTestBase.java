package craneway.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.control.operator.PlatformCommands;
import craneway.control.store.Quorum;
import craneway.model.event.Event;
import craneway.model.problem.Problem;
import craneway.model.unit.Parts;
import craneway.model.unit.TimingProfile;
import io.vavr.control.Either;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;

/** Three stores on the simulated clock whose zone orders are given by two operators, neither at the leader of the part. */
abstract class ThreeStoreTestBase {
    static final Map<String, String> REGIONS = Map.of("z1", "a", "z2", "b", "z3", "c");

    Cluster cluster;
    Cluster.Member leader;
    Cluster.Member first;
    Cluster.Member second;

    @BeforeEach
    void startCluster() {
        cluster = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.toleratingLosses(1, REGIONS));
        cluster.clockOffsetStepMicros = 10 * Cluster.MICROS_PER_SECOND;
        cluster.addStores("z1", "z2", "z3");
        assertTrue(cluster.runUntil(cluster::allPartsHaveLeaders, 10) < 8, this::eventLog);
        cluster.runFor(5);
        leader = cluster.leaderOf(Parts.MANIFEST_PART);
        var others = cluster.members.values().stream().filter(m -> m != leader).toList();
        first = others.get(0);
        second = others.get(1);
    }

    /** Hands the leadership over until this store has it; the two others then take the operators' orders. */
    void makeLeader(Cluster.Member wanted) {
        for (var i = 0; i < 10 && cluster.leaderOf(Parts.MANIFEST_PART) != wanted; i++) {
            cluster.replicaOf(cluster.leaderOf(Parts.MANIFEST_PART).name, Parts.MANIFEST_PART)
                    .group()
                    .transferLeadership(
                            wanted.storeId(), cluster.leaderOf(Parts.MANIFEST_PART).now());
            cluster.runFor(1);
            cluster.runUntil(cluster::allPartsHaveLeaders, 5);
        }
        assertEquals(wanted, cluster.leaderOf(Parts.MANIFEST_PART), this::eventLog);
        leader = wanted;
        var others = cluster.members.values().stream().filter(m -> m != leader).toList();
        first = others.get(0);
        second = others.get(1);
    }

    String eventLog() {
        return String.join("\n", cluster.eventLog);
    }

    /** The answers of one order, as they come. */
    static final class CommandOutcome {
        Either<Problem, Void> result;

        boolean hasArrived() {
            return result != null;
        }

        boolean isAcknowledged() {
            return result != null && result.isRight();
        }
    }

    static CommandOutcome markZone(Cluster.Member at, boolean emptied) {
        var a = new CommandOutcome();
        new PlatformCommands(at.store.coreClient()).markZone("z1", emptied, at.now(), r -> {
            assertEquals(null, a.result, "one order has one answer");
            a.result = r;
        });
        return a;
    }

    void assertMarkAcknowledged(Cluster.Member at, boolean emptied) {
        var a = markZone(at, emptied);
        cluster.runUntil(a::hasArrived, 3);
        assertTrue(a.isAcknowledged(), this::eventLog);
    }

    boolean isZoneEmptied() {
        var o = cluster.leaderOf(Parts.MANIFEST_PART);
        assertNotNull(o, this::eventLog);
        return o.store
                .replicas()[Parts.MANIFEST_PART]
                .records()
                .rows()
                .manifest
                .marks
                .containsKey("zone:z1");
    }

    /** An order that both nodes have asked before, so that what follows is as in a running core. */
    void openSessions() {
        assertMarkAcknowledged(first, true);
        assertMarkAcknowledged(second, false);
    }

    long leaderTerm() {
        return leader.store.replicas()[Parts.MANIFEST_PART].group().term();
    }

    long countEvents(Event e) {
        return cluster.eventLog.stream().filter(n -> n.contains(" " + e + " ")).count();
    }
}
