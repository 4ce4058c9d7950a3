package craneway.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.control.operator.PlatformCommands;
import craneway.model.event.Event;
import craneway.model.problem.ProblemKind;
import craneway.model.unit.Parts;
import craneway.state.message.Messages.CommandRequest;
import craneway.state.message.Messages.CommandResult;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Configurations by several operators at several nodes: one prevails, and what was acknowledged is acknowledged again. */
class ConfigurationOrderTest extends ThreeStores {
    private static final String TEXT = read();

    private static String read() {
        try {
            return Files.readString(Path.of("../../docs/examples/maticar.json"));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** One call of an operator. */
    private final class Call {
        final long base;
        final long number;
        final String source;
        ProblemKind refused;
        boolean acknowledged;

        Call(long base, long number, String source) {
            this.base = base;
            this.number = number;
            this.source = source;
        }

        Call at(Cluster.Member m) {
            new PlatformCommands(m.store.coreClient()).putManifest(base, number, TEXT, source, m.now(), r -> {
                acknowledged = r.isRight();
                refused = r.isRight() ? null : r.getLeft().kind();
            });
            return this;
        }

        boolean over() {
            return acknowledged || refused != null;
        }

        /** The same order again, as one whose answer was lost, until it has a clear answer. */
        Call again(Cluster.Member m) {
            for (var i = 0; i < 10; i++) {
                var c = new Call(base, number, source).at(m);
                ConfigurationOrderTest.this.c.until(c::over, 3);
                if (c.acknowledged || !c.refused.isTransient()) return c;
                ConfigurationOrderTest.this.c.run(0.3);
            }
            throw new AssertionError("no clear answer: " + notes());
        }
    }

    private Call call(long base, long number, String source) {
        return new Call(base, number, source);
    }

    private void finished(Call... calls) {
        c.until(() -> List.of(calls).stream().allMatch(Call::over), 3);
        for (var x : calls) assertTrue(x.over(), this::notes);
    }

    private String newest() {
        return c.owner(Parts.MANIFEST_PART)
                .store
                .replicas()[Parts.MANIFEST_PART]
                .records()
                .rows()
                .manifest
                .sourceText;
    }

    private void onlyThisOne(Call won, Call lost) {
        for (var m : c.members.values()) {
            if (!m.up) continue;
            assertTrue(won.again(m).acknowledged, this::notes);
            assertEquals(ProblemKind.RACE_LOST, lost.again(m).refused, this::notes);
        }
        assertEquals(won.source, newest());
    }

    @Test
    void ofTwoUnderOneNumberAtTwoNodesOneIsAcknowledged() {
        for (var i = 0; i < 10; i++) {
            var a = call(i, i + 1, "a" + i).at(i % 2 == 0 ? first : second);
            c.run(0.001 * i);
            var b = call(i, i + 1, "b" + i).at(i % 2 == 0 ? second : first);
            finished(a, b);
            assertTrue(a.acknowledged ^ b.acknowledged, this::notes);
            onlyThisOne(a.acknowledged ? a : b, a.acknowledged ? b : a);
        }
    }

    @Test
    void theSameOneByTwoOperatorsIsAcknowledgedToBoth() {
        var a = call(0, 1, "same").at(first);
        var b = call(0, 1, "same").at(second);
        finished(a, b);
        assertTrue(a.acknowledged && b.acknowledged, this::notes);
    }

    @Test
    void neitherIsAcknowledgedWhereNoMajorityIsReached() {
        c.hold = (f, t, m) -> m instanceof CommandRequest && (f == first || f == second);
        var a = call(0, 1, "a").at(first);
        var b = call(0, 1, "b").at(second);
        finished(a, b);
        assertTrue(a.refused.isTransient() && b.refused.isTransient());
        c.release();
        c.run(1);
        assertEquals("", newest());
        assertTrue(b.again(first).acknowledged);
        onlyThisOne(b, a);
    }

    @Test
    void oneWhoseAnswerWasLostIsAcknowledgedWhenSentAgainAndNeverRefused() {
        c.hold = (f, t, m) -> m instanceof CommandResult v && v.kind == 0 && t.equals(first.address);
        var a = call(0, 1, "a").at(first);
        c.run(0.1);
        var b = call(0, 1, "b").at(second);
        finished(a, b);
        assertFalse(a.acknowledged);
        assertTrue(a.refused.isTransient());
        assertEquals(ProblemKind.RACE_LOST, b.refused);
        c.release();
        onlyThisOne(a, b);
    }

    @Test
    void whatWasAcknowledgedIsSoAgainAfterALeaderChangeAndARestartOfAll() {
        var a = call(0, 1, "a").at(first);
        var b = call(0, 1, "b").at(second);
        finished(a, b);
        var won = a.acknowledged ? a : b;
        var lost = a.acknowledged ? b : a;
        leader.crash();
        c.until(() -> c.ownedBut(leader), 5);
        onlyThisOne(won, lost);
        leader.start();
        c.run(3);
        for (var i = 0; i < 3; i++) {
            c.members.values().forEach(Cluster.Member::losePower);
            c.run(1 + i);
            c.members.values().forEach(Cluster.Member::start);
            c.until(c::owned, 8);
            onlyThisOne(won, lost);
        }
    }

    @Test
    void ofEightUnderWayAtOnceOneIsAcknowledgedAndItsCopiesToo() {
        var nodes = List.copyOf(c.members.values());
        for (var round = 0; round < 5; round++) {
            var all = new ArrayList<Call>();
            for (var i = 0; i < 8; i++)
                all.add(call(round * 10, round * 10 + 10, "round " + round + " operator " + i)
                        .at(nodes.get(i % 3)));
            finished(all.toArray(Call[]::new));
            var won = all.stream().filter(x -> x.acknowledged).toList();
            assertEquals(1, won.size(), this::notes);
            for (var x : all) if (!x.acknowledged) assertEquals(ProblemKind.RACE_LOST, x.refused);
            for (var m : nodes) assertTrue(won.get(0).again(m).acknowledged);
            assertEquals(won.get(0).source, newest());
        }
    }

    private int lives(Cluster.Member m) {
        return m.store.replicas()[Parts.MANIFEST_PART].records().rows().sessions.size();
    }

    @Test
    void whatWasAcknowledgedIsSoAgainByALeaderThatLostItsDiskAndGotASnapshot() {
        var padding = "x".repeat(100_000);
        Call last = null;
        for (var i = 0; i < 60; i++) {
            last = call(i, i + 1, i + padding).at(i % 2 == 0 ? first : second);
            finished(last);
            assertTrue(last.acknowledged, this::notes);
        }
        assertTrue(noted(Event.SNAPSHOT_TAKEN) > 0, this::notes);
        first.loseDisk();
        c.run(0.5);
        first.start();
        c.until(() -> c.notes.stream().anyMatch(n -> n.contains(" " + first.name + " SNAPSHOT_LOADED part 0 ")), 10);
        c.until(() -> c.votesEverywhere(first, 3), 20);
        leadBy(first);
        assertEquals(2, lives(first));
        assertEquals(
                60,
                first.store
                        .replicas()[Parts.MANIFEST_PART]
                        .records()
                        .rows()
                        .manifest
                        .digests
                        .size());
        onlyThisOne(last, call(59, 60, "another"));
        assertTrue(call(0, 1, 0 + padding).again(second).acknowledged);
        assertEquals(last.source, newest());
    }
}
