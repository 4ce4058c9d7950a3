package craneway.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.control.store.Quorum;
import craneway.model.unit.TimingProfile;
import craneway.state.message.Node;
import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A store that is partitioned, paused, slowed down or reachable in one direction only, as leader, follower or
 * non-voter. It must not confirm a command that is lost or return stale reads, must answer in time and with transient
 * errors only, and must serve again soon after the impairment ends.
 */
class ImpairedStoreTest {
    private static final Map<String, String> REGION_BY_ZONE = Map.of("z1", "a", "z2", "b", "z3", "c", "z4", "a");
    private static final double MAX_RECOVERY_SECONDS = 3;
    /** How long a slowed store takes for each message and each tick. */
    private static final long SLOWED_HANDLING_MICROS = 15_000;

    private static final long NETWORK_RECOVERY_DELAY_MICROS = 500_000;

    enum Impairment {
        PARTITIONED,
        PAUSED,
        /** It resumes before the network does, so that no message shows how much time has passed. */
        PAUSED_AND_PARTITIONED,
        SLOWED,
        INBOUND_BLOCKED,
        OUTBOUND_BLOCKED
    }

    enum Role {
        LEADER,
        FOLLOWER,
        NON_VOTER
    }

    static Stream<Arguments> combinations() {
        return Stream.of(Impairment.values()).flatMap(impairment -> Stream.of(Role.values())
                .flatMap(role -> Stream.of(3.0, 8.0, 20.0).map(seconds -> Arguments.of(impairment, role, seconds))));
    }

    private static String readManifest() {
        try {
            return Files.readString(Path.of(ImpairedStoreTest.class
                    .getResource("/craneway/sim/maticar.json")
                    .toURI()));
        } catch (IOException | URISyntaxException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Cluster.Member memberWithRole(Cluster cluster, Role role) {
        var leader = cluster.leaderOf(0);
        if (role == Role.LEADER) return leader;
        var voters = cluster.voterNames(0);
        return cluster.members.values().stream()
                .filter(member -> member != leader && voters.contains(member.name) == (role == Role.FOLLOWER))
                .findFirst()
                .orElseThrow();
    }

    private static void setImpairment(Cluster cluster, Cluster.Member store, Impairment impairment, boolean active) {
        switch (impairment) {
            case PAUSED -> store.setPaused(active);
            case PAUSED_AND_PARTITIONED -> {
                if (active) blockPaths(cluster, store, impairment);
                else cluster.sim.scheduleAfter(NETWORK_RECOVERY_DELAY_MICROS, cluster.blockedPaths::clear);
                store.setPaused(active);
            }
            case SLOWED -> store.handlingCostMicros = active ? SLOWED_HANDLING_MICROS : 0;
            default -> {
                if (!active) cluster.blockedPaths.clear();
                else blockPaths(cluster, store, impairment);
            }
        }
    }

    private static void blockPaths(Cluster cluster, Cluster.Member store, Impairment impairment) {
        for (var member : cluster.members.values()) {
            if (member == store) continue;
            if (impairment != Impairment.INBOUND_BLOCKED) cluster.blockedPaths.add(store.name + ">" + member.name);
            if (impairment != Impairment.OUTBOUND_BLOCKED) cluster.blockedPaths.add(member.name + ">" + store.name);
        }
    }

    @ParameterizedTest
    @MethodSource("combinations")
    void confirmsNothingThatIsLostReadsNothingStaleAndServesSoonAfterwards(
            Impairment impairment, Role role, double seconds) {
        var cluster = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.toleratingLosses(1, REGION_BY_ZONE))
                .addStores("z1", "z2", "z3");
        cluster.runUntil(cluster::allPartsHaveLeaders, 10);
        cluster.addMember("s4", Node.STORE, "z4");
        cluster.runFor(6);
        var store = memberWithRole(cluster, role);
        var otherOperator = new ContinuousOperator(cluster, readManifest());
        otherOperator.avoidedStore = store;
        cluster.runFor(4);
        var clients = new SingleStoreClients(cluster, store, otherOperator, readManifest());
        cluster.runFor(3);
        assertTrue(clients.confirmedCommands() > 0, () -> String.join("\n", cluster.eventLog));
        assertTrue(clients.confirmedHeartbeats() > 0, () -> String.join("\n", cluster.eventLog));
        otherOperator.takeLongestGapSeconds();
        clients.allowSlowResponses(impairment == Impairment.PAUSED
                || impairment == Impairment.PAUSED_AND_PARTITIONED
                || impairment == Impairment.SLOWED);
        if (impairment == Impairment.PARTITIONED)
            clients.expectNoConfirmationsUntil(cluster.sim.now() + (long) (seconds * Cluster.MICROS_PER_SECOND));
        setImpairment(cluster, store, impairment, true);
        cluster.runFor(seconds);
        var longestGapSeconds = otherOperator.takeLongestGapSeconds();
        setImpairment(cluster, store, impairment, false);
        var endedAt = cluster.sim.now();
        cluster.runUntil(() -> clients.lastConfirmedAt() > endedAt, 10);
        var recoverySeconds = (cluster.sim.now() - endedAt) / 1e6;
        cluster.runFor(4);
        clients.allowSlowResponses(false);
        cluster.runFor(4);
        clients.stop();
        otherOperator.stop();
        cluster.runFor(2);
        clients.checkConfirmedState();
        var violations = new ArrayList<>(otherOperator.violations);
        violations.addAll(clients.violations);
        System.out.println(impairment + " " + role + " " + seconds + " s: longest gap at the other stores "
                + longestGapSeconds + " s, served again after " + recoverySeconds + " s, slowest response "
                + clients.slowestResponseMicros() / 1e6 + " s, violations " + violations.size());
        assertEquals(List.of(), violations);
        assertTrue(recoverySeconds < MAX_RECOVERY_SECONDS, () -> "served again after " + recoverySeconds + " s");
        assertTrue(
                longestGapSeconds < TwoFaultsRun.MAX_UNAVAILABLE_SECONDS,
                () -> "the other stores acknowledged nothing for " + longestGapSeconds + " s");
    }
}
