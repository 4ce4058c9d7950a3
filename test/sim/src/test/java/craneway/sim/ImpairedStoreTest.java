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
 * A store that is cut off, frozen, slowed or heard one way only, as leader, as follower, as a store without a vote: it never
 * confirms what does not stand, never reads back old, answers in time and never with a refusal, and serves soon once it is back.
 */
class ImpairedStoreTest {
    private static final Map<String, String> REGIONS = Map.of("z1", "a", "z2", "b", "z3", "c", "z4", "a");
    private static final double MAX_RECOVERY_SECONDS = 3;
    private static final long SLOWED_HANDLING_MICROS = 15_000;
    private static final long NETWORK_RECOVERY_DELAY_MICROS = 500_000;

    enum Impairment {
        PARTITIONED,
        PAUSED,
        /** It wakes before the net is back, so that nothing tells it of the time that has passed. */
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
        return Stream.of(Impairment.values()).flatMap(t -> Stream.of(Role.values())
                .flatMap(p -> Stream.of(3.0, 8.0, 20.0).map(s -> Arguments.of(t, p, s))));
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

    private static Cluster.Member memberWithRole(Cluster c, Role part) {
        var leader = c.leaderOf(0);
        if (part == Role.LEADER) return leader;
        var voters = c.voterNames(0);
        return c.members.values().stream()
                .filter(m -> m != leader && voters.contains(m.name) == (part == Role.FOLLOWER))
                .findFirst()
                .orElseThrow();
    }

    private static void setImpairment(Cluster c, Cluster.Member m, Impairment t, boolean on) {
        switch (t) {
            case PAUSED -> m.setPaused(on);
            case PAUSED_AND_PARTITIONED -> {
                if (on) blockPaths(c, m, t);
                else c.sim.after(NETWORK_RECOVERY_DELAY_MICROS, c.blockedPaths::clear);
                m.setPaused(on);
            }
            case SLOWED -> m.handlingCostMicros = on ? SLOWED_HANDLING_MICROS : 0;
            default -> {
                if (!on) c.blockedPaths.clear();
                else blockPaths(c, m, t);
            }
        }
    }

    private static void blockPaths(Cluster c, Cluster.Member m, Impairment t) {
        for (var x : c.members.values()) {
            if (x == m) continue;
            if (t != Impairment.INBOUND_BLOCKED) c.blockedPaths.add(m.name + ">" + x.name);
            if (t != Impairment.OUTBOUND_BLOCKED) c.blockedPaths.add(x.name + ">" + m.name);
        }
    }

    @ParameterizedTest
    @MethodSource("pairs")
    void neverConfirmsNorReadsBackOldAndServesSoonAfterwards(Impairment trouble, Role part, double seconds) {
        var c = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.toleratingLosses(1, REGIONS)).addStores("z1", "z2", "z3");
        c.runUntil(c::allPartsHaveLeaders, 10);
        c.addMember("s4", Node.STORE, "z4");
        c.runFor(6);
        var m = memberWithRole(c, part);
        var others = new ContinuousOperator(c, readManifest());
        others.avoidedStore = m;
        c.runFor(4);
        var here = new SingleStoreClients(c, m, others, readManifest());
        c.runFor(3);
        assertTrue(here.confirmedCommands() > 0, () -> String.join("\n", c.eventLog));
        assertTrue(here.confirmedHeartbeats() > 0, () -> String.join("\n", c.eventLog));
        others.takeLongestGapSeconds();
        here.allowSlowResponses(trouble == Impairment.PAUSED || trouble == Impairment.PAUSED_AND_PARTITIONED || trouble == Impairment.SLOWED);
        if (trouble == Impairment.PARTITIONED) here.expectNoConfirmationsUntil(c.sim.now() + (long) (seconds * Cluster.MICROS_PER_SECOND));
        setImpairment(c, m, trouble, true);
        c.runFor(seconds);
        var meanwhile = others.takeLongestGapSeconds();
        setImpairment(c, m, trouble, false);
        var back = c.sim.now();
        c.runUntil(() -> here.lastConfirmedAt() > back, 10);
        var took = (c.sim.now() - back) / 1e6;
        c.runFor(4);
        here.allowSlowResponses(false);
        c.runFor(4);
        here.stop();
        others.stop();
        c.runFor(2);
        here.checkConfirmedState();
        var faults = new ArrayList<>(others.violations);
        faults.addAll(here.violations);
        System.out.println(trouble + " " + part + " " + seconds + " s: others waited " + meanwhile + " s, back after "
                + took + " s, slowest answer " + here.slowestResponseMicros() / 1e6 + " s, faults " + faults.size());
        assertEquals(List.of(), faults);
        assertTrue(took < MAX_RECOVERY_SECONDS, () -> "serves after " + took + " s");
        assertTrue(meanwhile < TwoFaultsRun.MAX_UNAVAILABLE_SECONDS, () -> "others wait " + meanwhile + " s");
    }
}
