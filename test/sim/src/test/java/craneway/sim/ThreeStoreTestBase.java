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

/**
 * A simulated cluster of three stores; two operators send zone marks to the two stores that do not lead the manifest
 * part.
 */
abstract class ThreeStoreTestBase {
    static final Map<String, String> REGION_BY_ZONE = Map.of("z1", "a", "z2", "b", "z3", "c");

    Cluster cluster;
    Cluster.Member leader;
    Cluster.Member first;
    Cluster.Member second;

    @BeforeEach
    void startCluster() {
        cluster = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.toleratingLosses(1, REGION_BY_ZONE));
        cluster.clockOffsetStepMicros = 10 * Cluster.MICROS_PER_SECOND;
        cluster.addStores("z1", "z2", "z3");
        assertTrue(cluster.runUntil(cluster::allPartsHaveLeaders, 10) < 8, this::eventLog);
        cluster.runFor(5);
        leader = cluster.leaderOf(Parts.MANIFEST_PART);
        var others = cluster.members.values().stream()
                .filter(member -> member != leader)
                .toList();
        first = others.get(0);
        second = others.get(1);
    }

    /** Transfers the leadership until this store has it; the operators then use the two other stores. */
    void makeLeader(Cluster.Member wanted) {
        for (var i = 0; i < 10 && cluster.leaderOf(Parts.MANIFEST_PART) != wanted; i++) {
            cluster.replicaOf(cluster.leaderOf(Parts.MANIFEST_PART).name, Parts.MANIFEST_PART)
                    .group()
                    .transferLeadership(
                            wanted.storeId(),
                            cluster.leaderOf(Parts.MANIFEST_PART).now());
            cluster.runFor(1);
            cluster.runUntil(cluster::allPartsHaveLeaders, 5);
        }
        assertEquals(wanted, cluster.leaderOf(Parts.MANIFEST_PART), this::eventLog);
        leader = wanted;
        var others = cluster.members.values().stream()
                .filter(member -> member != leader)
                .toList();
        first = others.get(0);
        second = others.get(1);
    }

    String eventLog() {
        return String.join("\n", cluster.eventLog);
    }

    /** The result of one command; null until it arrives. */
    static final class CommandOutcome {
        Either<Problem, Void> result;

        boolean hasArrived() {
            return result != null;
        }

        boolean isAcknowledged() {
            return result != null && result.isRight();
        }
    }

    static CommandOutcome markZone(Cluster.Member member, boolean emptied) {
        var outcome = new CommandOutcome();
        new PlatformCommands(member.store.coreClient()).markZone("z1", emptied, member.now(), answer -> {
            assertEquals(null, outcome.result, "a command got a second result");
            outcome.result = answer;
        });
        return outcome;
    }

    void assertMarkAcknowledged(Cluster.Member member, boolean emptied) {
        var outcome = markZone(member, emptied);
        cluster.runUntil(outcome::hasArrived, 3);
        assertTrue(outcome.isAcknowledged(), this::eventLog);
    }

    boolean isZoneEmptied() {
        var currentLeader = cluster.leaderOf(Parts.MANIFEST_PART);
        assertNotNull(currentLeader, this::eventLog);
        return currentLeader
                .store
                .replicas()[Parts.MANIFEST_PART]
                .records()
                .rows()
                .manifest
                .marks
                .containsKey("zone:z1");
    }

    /**
     * Sends a command from both stores, so that each has a session with the leader, as in a core that has been running.
     */
    void openSessions() {
        assertMarkAcknowledged(first, true);
        assertMarkAcknowledged(second, false);
    }

    long leaderTerm() {
        return leader.store.replicas()[Parts.MANIFEST_PART].group().term();
    }

    long countEvents(Event event) {
        return cluster.eventLog.stream()
                .filter(n -> n.contains(" " + event + " "))
                .count();
    }
}
