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
class TroubledMemberTest {
    private static final Map<String, String> REGIONS = Map.of("z1", "a", "z2", "b", "z3", "c", "z4", "a");
    private static final double BACK = 3;
    private static final long COST = 15_000;
    private static final long NET_BACK = 500_000;

    enum Trouble {
        CUT,
        FROZEN,
        /** It wakes before the net is back, so that nothing tells it of the time that has passed. */
        FROZEN_AND_CUT,
        SLOWED,
        DEAF,
        MUTE
    }

    enum Part {
        LEADER,
        FOLLOWER,
        NO_VOTER
    }

    static Stream<Arguments> pairs() {
        return Stream.of(Trouble.values()).flatMap(t -> Stream.of(Part.values())
                .flatMap(p -> Stream.of(3.0, 8.0, 20.0).map(s -> Arguments.of(t, p, s))));
    }

    private static String text() {
        try {
            return Files.readString(Path.of(TroubledMemberTest.class
                    .getResource("/craneway/sim/maticar.json")
                    .toURI()));
        } catch (IOException | URISyntaxException e) {
            throw new IllegalStateException(e);
        }
    }

    private static Cluster.Member member(Cluster c, Part part) {
        var leader = c.owner(0);
        if (part == Part.LEADER) return leader;
        var voters = c.voters(0);
        return c.members.values().stream()
                .filter(m -> m != leader && voters.contains(m.name) == (part == Part.FOLLOWER))
                .findFirst()
                .orElseThrow();
    }

    private static void trouble(Cluster c, Cluster.Member m, Trouble t, boolean on) {
        switch (t) {
            case FROZEN -> m.freeze(on);
            case FROZEN_AND_CUT -> {
                if (on) cut(c, m, t);
                else c.sim.scheduleAfter(NET_BACK, c.cut::clear);
                m.freeze(on);
            }
            case SLOWED -> m.cost = on ? COST : 0;
            default -> {
                if (!on) c.cut.clear();
                else cut(c, m, t);
            }
        }
    }

    private static void cut(Cluster c, Cluster.Member m, Trouble t) {
        for (var x : c.members.values()) {
            if (x == m) continue;
            if (t != Trouble.DEAF) c.cut.add(m.name + ">" + x.name);
            if (t != Trouble.MUTE) c.cut.add(x.name + ">" + m.name);
        }
    }

    @ParameterizedTest
    @MethodSource("pairs")
    void neverConfirmsNorReadsBackOldAndServesSoonAfterwards(Trouble trouble, Part part, double seconds) {
        var c = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.toleratingLosses(1, REGIONS)).stores("z1", "z2", "z3");
        c.until(c::owned, 10);
        c.add("s4", Node.STORE, "z4");
        c.run(6);
        var m = member(c, part);
        var others = new SteadyOperator(c, text());
        others.avoids = m;
        c.run(4);
        var here = new TroubledMember(c, m, others, text());
        c.run(3);
        assertTrue(here.confirmed() > 0, () -> String.join("\n", c.notes));
        assertTrue(here.beats() > 0, () -> String.join("\n", c.notes));
        others.worst();
        here.late(trouble == Trouble.FROZEN || trouble == Trouble.FROZEN_AND_CUT || trouble == Trouble.SLOWED);
        if (trouble == Trouble.CUT) here.cutUntil(c.sim.now() + (long) (seconds * Cluster.SECOND));
        trouble(c, m, trouble, true);
        c.run(seconds);
        var meanwhile = others.worst();
        trouble(c, m, trouble, false);
        var back = c.sim.now();
        c.until(() -> here.lastConfirmed() > back, 10);
        var took = (c.sim.now() - back) / 1e6;
        c.run(4);
        here.late(false);
        c.run(4);
        here.stop();
        others.stop();
        c.run(2);
        here.judge();
        var faults = new ArrayList<>(others.faults);
        faults.addAll(here.faults);
        System.out.println(trouble + " " + part + " " + seconds + " s: others waited " + meanwhile + " s, back after "
                + took + " s, slowest answer " + here.slowest() / 1e6 + " s, faults " + faults.size());
        assertEquals(List.of(), faults);
        assertTrue(took < BACK, () -> "serves after " + took + " s");
        assertTrue(meanwhile < TwoEvents.BOUND, () -> "others wait " + meanwhile + " s");
    }
}
