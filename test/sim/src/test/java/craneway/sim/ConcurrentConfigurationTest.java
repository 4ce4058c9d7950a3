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

/**
 * Several operators put configurations with the same version at several stores: exactly one is acknowledged, and
 * repeating it is acknowledged again, also after a lost response, a leader change, a restart of all stores or a lost
 * disk.
 */
class ConcurrentConfigurationTest extends ThreeStoreTestBase {
    private static final String MANIFEST_TEXT = readManifest();

    private static String readManifest() {
        try {
            return Files.readString(Path.of("../../docs/examples/maticar.json"));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** One attempt of an operator to put a configuration. */
    private final class PutCall {
        final long baseVersion;
        final long version;
        final String source;
        ProblemKind rejection;
        boolean acknowledged;

        PutCall(long baseVersion, long version, String source) {
            this.baseVersion = baseVersion;
            this.version = version;
            this.source = source;
        }

        PutCall sendTo(Cluster.Member member) {
            new PlatformCommands(member.store.coreClient())
                    .putManifest(baseVersion, version, MANIFEST_TEXT, source, member.now(), result -> {
                        acknowledged = result.isRight();
                        rejection = result.isRight() ? null : result.getLeft().kind();
                    });
            return this;
        }

        boolean hasResponse() {
            return acknowledged || rejection != null;
        }

        /** Repeats the call as after a lost response, until the result is not transient. */
        PutCall repeatUntilResolved(Cluster.Member member) {
            for (var i = 0; i < 10; i++) {
                var retry = new PutCall(baseVersion, version, source).sendTo(member);
                ConcurrentConfigurationTest.this.cluster.runUntil(retry::hasResponse, 3);
                if (retry.acknowledged || !retry.rejection.isTransient()) return retry;
                ConcurrentConfigurationTest.this.cluster.runFor(0.3);
            }
            throw new AssertionError("no definite result: " + eventLog());
        }
    }

    private PutCall call(long baseVersion, long version, String source) {
        return new PutCall(baseVersion, version, source);
    }

    private void awaitResponses(PutCall... calls) {
        cluster.runUntil(() -> List.of(calls).stream().allMatch(PutCall::hasResponse), 3);
        for (var call : calls) assertTrue(call.hasResponse(), this::eventLog);
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

    private void assertOnlyAcknowledged(PutCall winner, PutCall loser) {
        for (var member : cluster.members.values()) {
            if (!member.running) continue;
            assertTrue(winner.repeatUntilResolved(member).acknowledged, this::eventLog);
            assertEquals(ProblemKind.RACE_LOST, loser.repeatUntilResolved(member).rejection, this::eventLog);
        }
        assertEquals(winner.source, storedSourceText());
    }

    @Test
    void ofTwoConfigurationsWithOneVersionExactlyOneIsAcknowledged() {
        for (var i = 0; i < 10; i++) {
            var callA = call(i, i + 1, "a" + i).sendTo(i % 2 == 0 ? first : second);
            cluster.runFor(0.001 * i);
            var callB = call(i, i + 1, "b" + i).sendTo(i % 2 == 0 ? second : first);
            awaitResponses(callA, callB);
            assertTrue(callA.acknowledged ^ callB.acknowledged, this::eventLog);
            assertOnlyAcknowledged(callA.acknowledged ? callA : callB, callA.acknowledged ? callB : callA);
        }
    }

    @Test
    void theSameConfigurationFromTwoOperatorsIsAcknowledgedToBoth() {
        var callA = call(0, 1, "same").sendTo(first);
        var callB = call(0, 1, "same").sendTo(second);
        awaitResponses(callA, callB);
        assertTrue(callA.acknowledged && callB.acknowledged, this::eventLog);
    }

    @Test
    void noConfigurationIsAcknowledgedWhileRequestsDoNotReachTheLeader() {
        cluster.holdFilter =
                (from, to, message) -> message instanceof CommandRequest && (from == first || from == second);
        var callA = call(0, 1, "a").sendTo(first);
        var callB = call(0, 1, "b").sendTo(second);
        awaitResponses(callA, callB);
        assertTrue(callA.rejection.isTransient() && callB.rejection.isTransient());
        cluster.releaseHeldMessages();
        cluster.runFor(1);
        assertEquals("", storedSourceText());
        assertTrue(callB.repeatUntilResolved(first).acknowledged);
        assertOnlyAcknowledged(callB, callA);
    }

    @Test
    void aConfigurationWhoseResponseWasLostIsAcknowledgedWhenRepeated() {
        cluster.holdFilter = (from, to, message) ->
                message instanceof CommandResult result && result.kind == 0 && to.equals(first.address);
        var callA = call(0, 1, "a").sendTo(first);
        cluster.runFor(0.1);
        var callB = call(0, 1, "b").sendTo(second);
        awaitResponses(callA, callB);
        assertFalse(callA.acknowledged);
        assertTrue(callA.rejection.isTransient());
        assertEquals(ProblemKind.RACE_LOST, callB.rejection);
        cluster.releaseHeldMessages();
        assertOnlyAcknowledged(callA, callB);
    }

    @Test
    void anAcknowledgedConfigurationIsAcknowledgedAgainAfterALeaderChangeAndRestarts() {
        var callA = call(0, 1, "a").sendTo(first);
        var callB = call(0, 1, "b").sendTo(second);
        awaitResponses(callA, callB);
        var winner = callA.acknowledged ? callA : callB;
        var loser = callA.acknowledged ? callB : callA;
        leader.crash();
        cluster.runUntil(() -> cluster.allPartsLedByOtherThan(leader), 5);
        assertOnlyAcknowledged(winner, loser);
        leader.start();
        cluster.runFor(3);
        for (var i = 0; i < 3; i++) {
            cluster.members.values().forEach(Cluster.Member::losePower);
            cluster.runFor(1 + i);
            cluster.members.values().forEach(Cluster.Member::start);
            cluster.runUntil(cluster::allPartsHaveLeaders, 8);
            assertOnlyAcknowledged(winner, loser);
        }
    }

    @Test
    void ofEightConcurrentConfigurationsOneAndItsRepetitionsAreAcknowledged() {
        var nodes = List.copyOf(cluster.members.values());
        for (var round = 0; round < 5; round++) {
            var calls = new ArrayList<PutCall>();
            for (var i = 0; i < 8; i++)
                calls.add(call(round * 10, round * 10 + 10, "round " + round + " operator " + i)
                        .sendTo(nodes.get(i % 3)));
            awaitResponses(calls.toArray(PutCall[]::new));
            var winners = calls.stream().filter(call -> call.acknowledged).toList();
            assertEquals(1, winners.size(), this::eventLog);
            for (var call : calls) if (!call.acknowledged) assertEquals(ProblemKind.RACE_LOST, call.rejection);
            for (var node : nodes) assertTrue(winners.get(0).repeatUntilResolved(node).acknowledged);
            assertEquals(winners.get(0).source, storedSourceText());
        }
    }

    private int sessionCount(Cluster.Member member) {
        return member.store
                .replicas()[Parts.MANIFEST_PART]
                .records()
                .rows()
                .sessions
                .size();
    }

    @Test
    void anAcknowledgedConfigurationIsAcknowledgedAgainByALeaderRestoredFromASnapshot() {
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
        cluster.runUntil(
                () -> cluster.eventLog.stream()
                        .anyMatch(event -> event.contains(" " + first.name + " SNAPSHOT_LOADED part 0 ")),
                10);
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
