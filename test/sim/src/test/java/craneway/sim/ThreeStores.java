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
abstract class ThreeStores {
    static final Map<String, String> REGIONS = Map.of("z1", "a", "z2", "b", "z3", "c");

    Cluster c;
    Cluster.Member leader;
    Cluster.Member first;
    Cluster.Member second;

    @BeforeEach
    void begin() {
        c = new Cluster(TimingProfile.LOW_TRAFFIC, Quorum.toleratingLosses(1, REGIONS));
        c.originStep = 10 * Cluster.SECOND;
        c.stores("z1", "z2", "z3");
        assertTrue(c.until(c::owned, 10) < 8, this::notes);
        c.run(5);
        leader = c.owner(Parts.MANIFEST_PART);
        var others = c.members.values().stream().filter(m -> m != leader).toList();
        first = others.get(0);
        second = others.get(1);
    }

    /** Hands the leadership over until this store has it; the two others then take the operators' orders. */
    void leadBy(Cluster.Member wanted) {
        for (var i = 0; i < 10 && c.owner(Parts.MANIFEST_PART) != wanted; i++) {
            c.keeper(c.owner(Parts.MANIFEST_PART).name, Parts.MANIFEST_PART)
                    .group()
                    .transferLeadership(
                            wanted.storeId(), c.owner(Parts.MANIFEST_PART).now());
            c.run(1);
            c.until(c::owned, 5);
        }
        assertEquals(wanted, c.owner(Parts.MANIFEST_PART), this::notes);
        leader = wanted;
        var others = c.members.values().stream().filter(m -> m != leader).toList();
        first = others.get(0);
        second = others.get(1);
    }

    String notes() {
        return String.join("\n", c.notes);
    }

    /** The answers of one order, as they come. */
    static final class Answer {
        Either<Problem, Void> given;

        boolean came() {
            return given != null;
        }

        boolean acknowledged() {
            return given != null && given.isRight();
        }
    }

    static Answer mark(Cluster.Member at, boolean emptied) {
        var a = new Answer();
        new PlatformCommands(at.store.coreClient()).markZone("z1", emptied, at.now(), r -> {
            assertEquals(null, a.given, "one order has one answer");
            a.given = r;
        });
        return a;
    }

    void acknowledged(Cluster.Member at, boolean emptied) {
        var a = mark(at, emptied);
        c.until(a::came, 3);
        assertTrue(a.acknowledged(), this::notes);
    }

    boolean emptied() {
        var o = c.owner(Parts.MANIFEST_PART);
        assertNotNull(o, this::notes);
        return o.store
                .replicas()[Parts.MANIFEST_PART]
                .records()
                .rows()
                .manifest
                .marks
                .containsKey("zone:z1");
    }

    /** An order that both nodes have asked before, so that what follows is as in a running core. */
    void warm() {
        acknowledged(first, true);
        acknowledged(second, false);
    }

    long term() {
        return leader.store.replicas()[Parts.MANIFEST_PART].group().term();
    }

    long noted(Event e) {
        return c.notes.stream().filter(n -> n.contains(" " + e + " ")).count();
    }
}
