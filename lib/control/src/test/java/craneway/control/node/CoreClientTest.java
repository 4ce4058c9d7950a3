package craneway.control.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.model.event.Event;
import craneway.model.problem.ProblemKind;
import craneway.model.unit.TimingProfile;
import craneway.state.message.Commands;
import craneway.state.message.Messages.CommandRequest;
import craneway.state.message.Messages.CommandResult;
import craneway.state.message.Node;
import craneway.state.message.Queries;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Checks that the client sends each request with one identity and with a deadline on the clock of the leader, so that
 * no copy takes effect after the caller has given up.
 */
class CoreClientTest {
    private static final long SESSION_ID = 0x1234_5678_9abc_def0L;
    private static final long TIMEOUT_MICROS = 800_000;

    private final List<CommandRequest> sent = new ArrayList<>();
    private final List<Event> events = new ArrayList<>();
    private final List<CommandResult> results = new ArrayList<>();
    private long now = 50_000_000;
    private CoreClient coreClient;

    private final Port port = new Port() {
        @Override
        public long now() {
            return now;
        }

        @Override
        public void send(String address, Object message) {
            sent.add((CommandRequest) message);
        }

        @Override
        public void logEvent(Event event, String detail) {
            events.add(event);
        }
    };

    @BeforeEach
    void createClient() {
        var self = new Node("s1", Node.STORE, "z1", "s1", 1);
        coreClient = coreClient(SESSION_ID, self);
    }

    private CoreClient coreClient(long sessionId, Node self) {
        var client =
                new CoreClient(port, new NodeDirectory(port, self, List.of(), TimingProfile.LOW_TRAFFIC), sessionId);
        client.leader(0, new Node("s2", Node.STORE, "z2", "s2", 1));
        return client;
    }

    private void sendZoneMark() {
        coreClient.request(0, new Commands.ZoneMark(), TIMEOUT_MICROS, results::add);
    }

    /** The copy that was sent last. */
    private CommandRequest lastSent() {
        return sent.get(sent.size() - 1);
    }

    private CommandResult resultFor(CommandRequest request, int kind, long term, long clock) {
        var result = new CommandResult();
        result.id = request.id;
        result.sessionId = request.sessionId;
        result.kind = kind;
        result.leaderTerm = term;
        result.leaderClock = clock;
        return result;
    }

    /** Lets the client read the leader's clock from the answer to one command. */
    private void learnLeaderClock(long term, long clock) {
        sendZoneMark();
        coreClient.receive(resultFor(lastSent(), 0, term, clock));
        results.clear();
        sent.clear();
    }

    @Test
    void sendsACommandOnceItKnowsTheLeadersClock() {
        sendZoneMark();
        assertEquals(0, lastSent().body.length);
        assertEquals(0, lastSent().leaderTerm);
        now += 70_000;
        coreClient.receive(resultFor(lastSent(), ProblemKind.LATE_COMMAND.code(), 3, 9_000_000));
        assertEquals(2, sent.size());
        assertTrue(lastSent().body.length > 0);
        assertEquals(3, lastSent().leaderTerm);
        assertEquals(9_000_000 + TIMEOUT_MICROS - 70_000, lastSent().leaderDeadline);
        assertTrue(results.isEmpty());
    }

    @Test
    void allCopiesOfARequestCarryTheSameIdentityAndDeadline() {
        learnLeaderClock(3, 9_000_000);
        now += 1_000_000;
        sendZoneMark();
        var leaderDeadline = lastSent().leaderDeadline;
        assertEquals(9_000_000 + 1_000_000 + TIMEOUT_MICROS, leaderDeadline);
        now += 400_000;
        coreClient.tick(now);
        now += 10_000;
        coreClient.receive(resultFor(lastSent(), ProblemKind.UNCERTAIN.code(), 0, 0));
        now += 100_000;
        coreClient.tick(now);
        assertTrue(sent.size() >= 3);
        for (var copy : sent) {
            assertEquals(sent.get(0).id, copy.id);
            assertEquals(SESSION_ID, copy.sessionId);
            assertEquals(leaderDeadline, copy.leaderDeadline);
        }
    }

    @Test
    void aLaterClockReadingNeverMovesTheDeadlinePastTheTimeout() {
        learnLeaderClock(3, 9_000_000);
        for (var delay : new long[] {0, 5_000, 300_000, 20_000}) {
            sendZoneMark();
            var requestedAt = now;
            var clockReading = 9_000_000 + now - 50_000_000;
            now += delay;
            coreClient.receive(resultFor(lastSent(), 0, 3, clockReading));
            sendZoneMark();
            assertTrue(
                    lastSent().leaderDeadline <= 9_000_000 + now + TIMEOUT_MICROS - 50_000_000, "after " + requestedAt);
            coreClient.receive(resultFor(lastSent(), 0, 0, 0));
        }
    }

    @Test
    void requestsANewClockReadingWhenTheLastOneIsTooOld() {
        learnLeaderClock(3, 9_000_000);
        now += LeaderClock.FRESH_FOR_MICROS;
        sendZoneMark();
        assertEquals(0, lastSent().body.length);
    }

    @Test
    void laterAnswersRenewTheClockReadingBeforeItIsTooOld() {
        learnLeaderClock(3, 9_000_000);
        for (var round = 1; round <= 10; round++) {
            now += LeaderClock.FRESH_FOR_MICROS / 4;
            sendZoneMark();
            assertTrue(lastSent().body.length > 0, "order " + round);
            coreClient.receive(
                    resultFor(lastSent(), 0, 3, 9_000_000 + round * LeaderClock.FRESH_FOR_MICROS / 4 - 70_000));
        }
    }

    @Test
    void sendsAQueryAtOnceAndWithoutADeadline() {
        coreClient.request(0, new Queries.ManifestGet(), TIMEOUT_MICROS, results::add);
        assertTrue(lastSent().body.length > 0);
        assertEquals(0, lastSent().leaderTerm);
    }

    @Test
    void sendsACommandWithoutDeadlineAtOnceToALeaderThatCannotReportItsClock() {
        var oldLeader = new Node("s2", Node.STORE, "z2", "s2", 1);
        oldLeader.supportsIdentifiedCommands = false;
        coreClient.leader(0, oldLeader);
        sendZoneMark();
        assertTrue(lastSent().body.length > 0);
        assertEquals(0, lastSent().leaderDeadline);
        var result = new CommandResult();
        result.id = lastSent().id;
        coreClient.receive(result);
        assertEquals(1, results.size());
    }

    @Test
    void sendsTheCommandToALeaderThatCannotReadAClockRequest() {
        sendZoneMark();
        var result = new CommandResult();
        result.id = lastSent().id;
        result.kind = ProblemKind.BAD_MESSAGE.code();
        coreClient.receive(result);
        assertTrue(results.isEmpty());
        assertTrue(lastSent().body.length > 0);
    }

    @Test
    void dropsAResultMeantForAnEarlierProcessAtTheAddress() {
        learnLeaderClock(3, 9_000_000);
        sendZoneMark();
        var result = resultFor(lastSent(), 0, 3, 9_000_000);
        result.sessionId = SESSION_ID + 1;
        coreClient.receive(result);
        assertTrue(results.isEmpty());
        assertEquals(List.of(Event.STALE_REPLY), events);
        result.sessionId = SESSION_ID;
        coreClient.receive(result);
        assertEquals(1, results.size());
    }

    @Test
    void deliversADuplicateResultOnce() {
        learnLeaderClock(3, 9_000_000);
        sendZoneMark();
        var result = resultFor(lastSent(), 0, 3, 9_000_000);
        coreClient.receive(result);
        coreClient.receive(result);
        assertEquals(1, results.size());
    }

    @Test
    void idsRiseAndEachRequestCarriesTheLowestPendingOne() {
        learnLeaderClock(3, 9_000_000);
        sendZoneMark();
        var first = lastSent();
        sendZoneMark();
        var second = lastSent();
        assertEquals(first.id + 1, second.id);
        assertEquals(first.id, second.lowestPending);
        coreClient.receive(resultFor(first, 0, 3, 9_000_000));
        sendZoneMark();
        assertEquals(second.id, lastSent().lowestPending);
    }

    @Test
    void limitsImmediateResendsAfterLateReplies() {
        learnLeaderClock(3, 9_000_000);
        sendZoneMark();
        for (var i = 0; i < 100; i++)
            coreClient.receive(resultFor(lastSent(), ProblemKind.LATE_COMMAND.code(), 3, 9_000_000 + i));
        assertTrue(sent.size() <= 3, "copies " + sent.size());
        now += TIMEOUT_MICROS;
        coreClient.tick(now);
        assertEquals(ProblemKind.UNCERTAIN.code(), results.get(0).kind);
    }

    @Test
    void differentProcessesStartAtDifferentIds() {
        sendZoneMark();
        var firstId = lastSent().id;
        coreClient = coreClient(~SESSION_ID, new Node("s1", Node.STORE, "z1", "s1", 2));
        sendZoneMark();
        assertNotEquals(firstId, lastSent().id);
    }
}
