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

class AskerTest {
    private static final long LIFE = 0x1234_5678_9abc_def0L, TIMEOUT = 800_000;

    private final List<CommandRequest> sent = new ArrayList<>();
    private final List<Event> notes = new ArrayList<>();
    private final List<CommandResult> got = new ArrayList<>();
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
        public void logEvent(Event e, String detail) {
            notes.add(e);
        }
    };

    @BeforeEach
    void begin() {
        var self = new Node("s1", Node.STORE, "z1", "s1", 1);
        coreClient = coreClient(LIFE, self);
    }

    private CoreClient coreClient(long life, Node self) {
        var a = new CoreClient(port, new NodeDirectory(port, self, List.of(), TimingProfile.LOW_TRAFFIC), life);
        a.leader(0, new Node("s2", Node.STORE, "z2", "s2", 1));
        return a;
    }

    private void order() {
        coreClient.request(0, new Commands.ZoneMark(), TIMEOUT, got::add);
    }

    private CommandRequest last() {
        return sent.get(sent.size() - 1);
    }

    private CommandResult reply(CommandRequest a, int kind, long term, long clock) {
        var v = new CommandResult();
        v.id = a.id;
        v.sessionId = a.sessionId;
        v.kind = kind;
        v.leaderTerm = term;
        v.leaderClock = clock;
        return v;
    }

    private void learn(long term, long clock) {
        order();
        coreClient.receive(reply(last(), 0, term, clock));
        got.clear();
        sent.clear();
    }

    @Test
    void aCommandIsSentOnceTheLeadersClockIsKnown() {
        order();
        assertEquals(0, last().body.length);
        assertEquals(0, last().leaderTerm);
        now += 70_000;
        coreClient.receive(reply(last(), ProblemKind.LATE_COMMAND.code(), 3, 9_000_000));
        assertEquals(2, sent.size());
        assertTrue(last().body.length > 0);
        assertEquals(3, last().leaderTerm);
        assertEquals(9_000_000 + TIMEOUT - 70_000, last().leaderDeadline);
        assertTrue(got.isEmpty());
    }

    @Test
    void allCopiesCarryOneIdentityAndABoundNoLaterThanTheAskersTimeout() {
        learn(3, 9_000_000);
        now += 1_000_000;
        order();
        var bound = last().leaderDeadline;
        assertEquals(9_000_000 + 1_000_000 + TIMEOUT, bound);
        now += 400_000;
        coreClient.tick(now);
        now += 10_000;
        coreClient.receive(reply(last(), ProblemKind.UNCERTAIN.code(), 0, 0));
        now += 100_000;
        coreClient.tick(now);
        assertTrue(sent.size() >= 3);
        for (var a : sent) {
            assertEquals(sent.get(0).id, a.id);
            assertEquals(LIFE, a.sessionId);
            assertEquals(bound, a.leaderDeadline);
        }
    }

    @Test
    void aLaterReadingOfTheSameLeaderNeverMovesTheBoundBehindTheTimeout() {
        learn(3, 9_000_000);
        for (var delay : new long[] {0, 5_000, 300_000, 20_000}) {
            order();
            var asked = now;
            var read = 9_000_000 + now - 50_000_000;
            now += delay;
            coreClient.receive(reply(last(), 0, 3, read));
            order();
            assertTrue(last().leaderDeadline <= 9_000_000 + now + TIMEOUT - 50_000_000, "after " + asked);
            coreClient.receive(reply(last(), 0, 0, 0));
        }
    }

    @Test
    void aReadingThatIsOldIsAskedForAnew() {
        learn(3, 9_000_000);
        now += LeaderClock.FRESH;
        order();
        assertEquals(0, last().body.length);
    }

    @Test
    void aReadingIsRenewedByLaterAnswersBeforeItIsOld() {
        learn(3, 9_000_000);
        for (var i = 1; i <= 10; i++) {
            now += LeaderClock.FRESH / 4;
            order();
            assertTrue(last().body.length > 0, "order " + i);
            coreClient.receive(reply(last(), 0, 3, 9_000_000 + i * LeaderClock.FRESH / 4 - 70_000));
        }
    }

    @Test
    void aQueryIsNeitherBoundNorHeldBack() {
        coreClient.request(0, new Queries.ManifestGet(), TIMEOUT, got::add);
        assertTrue(last().body.length > 0);
        assertEquals(0, last().leaderTerm);
    }

    @Test
    void aLeaderTooOldToTellItsClockIsSentTheCommandAtOnce() {
        var old = new Node("s2", Node.STORE, "z2", "s2", 1);
        old.supportsIdentifiedCommands = false;
        coreClient.leader(0, old);
        order();
        assertTrue(last().body.length > 0);
        assertEquals(0, last().leaderDeadline);
        var v = new CommandResult();
        v.id = last().id;
        coreClient.receive(v);
        assertEquals(1, got.size());
    }

    @Test
    void aLeaderThatCannotReadTheQuestionForItsClockIsSentTheCommand() {
        order();
        var v = new CommandResult();
        v.id = last().id;
        v.kind = ProblemKind.BAD_MESSAGE.code();
        coreClient.receive(v);
        assertTrue(got.isEmpty());
        assertTrue(last().body.length > 0);
    }

    @Test
    void anAnswerToAnEarlierLifeOfTheAddressIsDropped() {
        learn(3, 9_000_000);
        order();
        var v = reply(last(), 0, 3, 9_000_000);
        v.sessionId = LIFE + 1;
        coreClient.receive(v);
        assertTrue(got.isEmpty());
        assertEquals(List.of(Event.STALE_REPLY), notes);
        v.sessionId = LIFE;
        coreClient.receive(v);
        assertEquals(1, got.size());
    }

    @Test
    void anAnswerThatComesTwiceIsTakenOnce() {
        learn(3, 9_000_000);
        order();
        var v = reply(last(), 0, 3, 9_000_000);
        coreClient.receive(v);
        coreClient.receive(v);
        assertEquals(1, got.size());
    }

    @Test
    void idsRiseAndTheLeastOpenOneIsTold() {
        learn(3, 9_000_000);
        order();
        var first = last();
        order();
        var second = last();
        assertEquals(first.id + 1, second.id);
        assertEquals(first.id, second.lowestPending);
        coreClient.receive(reply(first, 0, 3, 9_000_000));
        order();
        assertEquals(second.id, last().lowestPending);
    }

    @Test
    void lapsesAreNotAnsweredForEverAtOnce() {
        learn(3, 9_000_000);
        order();
        for (var i = 0; i < 100; i++) coreClient.receive(reply(last(), ProblemKind.LATE_COMMAND.code(), 3, 9_000_000 + i));
        assertTrue(sent.size() <= 3, "copies " + sent.size());
        now += TIMEOUT;
        coreClient.tick(now);
        assertEquals(ProblemKind.UNCERTAIN.code(), got.get(0).kind);
    }

    @Test
    void livesStartAtIdsOfTheirOwn() {
        order();
        var mine = last().id;
        coreClient = coreClient(~LIFE, new Node("s1", Node.STORE, "z1", "s1", 2));
        order();
        assertNotEquals(mine, last().id);
    }
}
