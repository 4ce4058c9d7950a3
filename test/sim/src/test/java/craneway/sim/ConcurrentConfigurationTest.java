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
class ConcurrentConfigurationTest extends ThreeStoreTestBase {
    private static final String MANIFEST_TEXT = readManifest();

    private static String readManifest() {
        try {
            return Files.readString(Path.of("../../docs/examples/maticar.json"));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** One call of an operator. */
    private final class PutCall {
        final long baseVersion;
        final long version;
        final String source;
        ProblemKind rejection;
        boolean acknowledged;

        PutCall(long base, long number, String source) {
            this.baseVersion = base;
            this.version = number;
            this.source = source;
        }

        PutCall sendTo(Cluster.Member m) {
            new PlatformCommands(m.store.coreClient()).putManifest(baseVersion, version, MANIFEST_TEXT, source, m.now(), r -> {
                acknowledged = r.isRight();
                rejection = r.isRight() ? null : r.getLeft().kind();
            });
            return this;
        }

        boolean hasResponse() {
            return acknowledged || rejection != null;
        }

        /** The same order again, as one whose answer was lost, until it has a clear answer. */
        PutCall repeatUntilResolved(Cluster.Member m) {
            for (var i = 0; i < 10; i++) {
                var c = new PutCall(baseVersion, version, source).sendTo(m);
                ConcurrentConfigurationTest.this.cluster.runUntil(c::hasResponse, 3);
                if (c.acknowledged || !c.rejection.isTransient()) return c;
                ConcurrentConfigurationTest.this.cluster.runFor(0.3);
            }
            throw new AssertionError("no clear answer: " + eventLog());
        }
    }

    private PutCall call(long base, long number, String source) {
        return new PutCall(base, number, source);
    }

    private void awaitResponses(PutCall... calls) {
        cluster.runUntil(() -> List.of(calls).stream().allMatch(PutCall::hasResponse), 3);
        for (var x : calls) assertTrue(x.hasResponse(), this::eventLog);
    }

    private String storedSourceText() {
        return cluster.leaderOf(Parts.MANIFEST_PART)
                .store
                .replicas()[Parts.MANIFEST_PART]
                .records()
                .rows()
                .manifest
                .sourceText;
    }

    private void assertOnlyAcknowledged(PutCall won, PutCall lost) {
        for (var m : cluster.members.values()) {
            if (!m.running) continue;
            assertTrue(won.repeatUntilResolved(m).acknowledged, this::eventLog);
            assertEquals(ProblemKind.RACE_LOST, lost.repeatUntilResolved(m).rejection, this::eventLog);
        }
        assertEquals(won.source, storedSourceText());
    }

    @Test
    void ofTwoUnderOneNumberAtTwoNodesOneIsAcknowledged() {
        for (var i = 0; i < 10; i++) {
            var a = call(i, i + 1, "a" + i).sendTo(i % 2 == 0 ? first : second);
            cluster.runFor(0.001 * i);
            var b = call(i, i + 1, "b" + i).sendTo(i % 2 == 0 ? second : first);
            awaitResponses(a, b);
            assertTrue(a.acknowledged ^ b.acknowledged, this::eventLog);
            assertOnlyAcknowledged(a.acknowledged ? a : b, a.acknowledged ? b : a);
        }
    }

    @Test
    void theSameOneByTwoOperatorsIsAcknowledgedToBoth() {
        var a = call(0, 1, "same").sendTo(first);
        var b = call(0, 1, "same").sendTo(second);
        awaitResponses(a, b);
        assertTrue(a.acknowledged && b.acknowledged, this::eventLog);
    }

    @Test
    void neitherIsAcknowledgedWhereNoMajorityIsReached() {
        cluster.holdFilter = (f, t, m) -> m instanceof CommandRequest && (f == first || f == second);
        var a = call(0, 1, "a").sendTo(first);
        var b = call(0, 1, "b").sendTo(second);
        awaitResponses(a, b);
        assertTrue(a.rejection.isTransient() && b.rejection.isTransient());
        cluster.releaseHeldMessages();
        cluster.runFor(1);
        assertEquals("", storedSourceText());
        assertTrue(b.repeatUntilResolved(first).acknowledged);
        assertOnlyAcknowledged(b, a);
    }

    @Test
    void oneWhoseAnswerWasLostIsAcknowledgedWhenSentAgainAndNeverRefused() {
        cluster.holdFilter = (f, t, m) -> m instanceof CommandResult v && v.kind == 0 && t.equals(first.address);
        var a = call(0, 1, "a").sendTo(first);
        cluster.runFor(0.1);
        var b = call(0, 1, "b").sendTo(second);
        awaitResponses(a, b);
        assertFalse(a.acknowledged);
        assertTrue(a.rejection.isTransient());
        assertEquals(ProblemKind.RACE_LOST, b.rejection);
        cluster.releaseHeldMessages();
        assertOnlyAcknowledged(a, b);
    }

    @Test
    void whatWasAcknowledgedIsSoAgainAfterALeaderChangeAndARestartOfAll() {
        var a = call(0, 1, "a").sendTo(first);
        var b = call(0, 1, "b").sendTo(second);
        awaitResponses(a, b);
        var won = a.acknowledged ? a : b;
        var lost = a.acknowledged ? b : a;
        leader.crash();
        cluster.runUntil(() -> cluster.allPartsLedByOtherThan(leader), 5);
        assertOnlyAcknowledged(won, lost);
        leader.start();
        cluster.runFor(3);
        for (var i = 0; i < 3; i++) {
            cluster.members.values().forEach(Cluster.Member::losePower);
            cluster.runFor(1 + i);
            cluster.members.values().forEach(Cluster.Member::start);
            cluster.runUntil(cluster::allPartsHaveLeaders, 8);
            assertOnlyAcknowledged(won, lost);
        }
    }

    @Test
    void ofEightUnderWayAtOnceOneIsAcknowledgedAndItsCopiesToo() {
        var nodes = List.copyOf(cluster.members.values());
        for (var round = 0; round < 5; round++) {
            var all = new ArrayList<PutCall>();
            for (var i = 0; i < 8; i++)
                all.add(call(round * 10, round * 10 + 10, "round " + round + " operator " + i)
                        .sendTo(nodes.get(i % 3)));
            awaitResponses(all.toArray(PutCall[]::new));
            var won = all.stream().filter(x -> x.acknowledged).toList();
            assertEquals(1, won.size(), this::eventLog);
            for (var x : all) if (!x.acknowledged) assertEquals(ProblemKind.RACE_LOST, x.rejection);
            for (var m : nodes) assertTrue(won.get(0).repeatUntilResolved(m).acknowledged);
            assertEquals(won.get(0).source, storedSourceText());
        }
    }

    private int sessionCount(Cluster.Member m) {
        return m.store.replicas()[Parts.MANIFEST_PART].records().rows().sessions.size();
    }

    @Test
    void whatWasAcknowledgedIsSoAgainByALeaderThatLostItsDiskAndGotASnapshot() {
        var padding = "x".repeat(100_000);
        PutCall last = null;
        for (var i = 0; i < 60; i++) {
            last = call(i, i + 1, i + padding).sendTo(i % 2 == 0 ? first : second);
            awaitResponses(last);
            assertTrue(last.acknowledged, this::eventLog);
        }
        assertTrue(countEvents(Event.SNAPSHOT_TAKEN) > 0, this::eventLog);
        first.loseDisk();
        cluster.runFor(0.5);
        first.start();
        cluster.runUntil(() -> cluster.eventLog.stream().anyMatch(n -> n.contains(" " + first.name + " SNAPSHOT_LOADED part 0 ")), 10);
        cluster.runUntil(() -> cluster.isVoterOfAllParts(first, 3), 20);
        makeLeader(first);
        assertEquals(2, sessionCount(first));
        assertEquals(
                60,
                first.store
                        .replicas()[Parts.MANIFEST_PART]
                        .records()
                        .rows()
                        .manifest
                        .digests
                        .size());
        assertOnlyAcknowledged(last, call(59, 60, "another"));
        assertTrue(call(0, 1, 0 + padding).repeatUntilResolved(second).acknowledged);
        assertEquals(last.source, storedSourceText());
    }
}
