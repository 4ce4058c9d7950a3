package craneway.state.record;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.state.message.Codec;
import craneway.state.message.Commands;
import craneway.state.message.Messages;
import craneway.state.message.Node;
import craneway.state.message.Plan;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Checks compatibility with processes from before sessions, command deadlines and configuration digests: their messages
 * and snapshots are read, and they can read the new ones.
 */
class OlderFormatTest {
    /** A command request from before sessions. */
    public static final class OlderRequest {
        public long id;
        public int part;
        public Node from;
        public byte[] body;
    }

    /** A command result from before sessions. */
    public static final class OlderResult {
        public long id;
        public int kind;
        public String detail = "";
        public long retryAfter;
        public long version;
        public Node owner;
        public byte[] body;
    }

    /** The manifest's row from before digests. */
    public static final class OlderManifest {
        public long version;
        public long topicVersion;
        public long marksVersion;
        public String text = "";
        public String source = "";
        public TreeMap<Long, Long> taken = new TreeMap<>();
        public TreeMap<String, String> marks = new TreeMap<>();
    }

    /** A part's rows from before sessions. */
    public static final class OlderPartState {
        public long age;
        public long index;
        public long membersVersion;
        public long planCount;
        public TreeMap<String, Rows.Member> members = new TreeMap<>();
        public OlderManifest manifest = new OlderManifest();
        public TreeMap<String, Rows.Service> services = new TreeMap<>();
        public TreeMap<String, Rows.Claim> claims = new TreeMap<>();
        public TreeMap<String, Rows.Quota> quotas = new TreeMap<>();
        public TreeMap<Long, Plan> plans = new TreeMap<>();
        public boolean claimsLost;
        public long lostSince;
    }

    private static Commands.ManifestPut manifestPut(long base, long number, String source) {
        var command = new Commands.ManifestPut();
        command.baseVersion = base;
        command.senderNumber = number;
        command.text = command.sourceText = source;
        return command;
    }

    private static byte[] identifiedCommand(Object command) {
        var identified = new Commands.IdentifiedCommand();
        identified.sessionId = -5;
        identified.sequence = 9;
        identified.lowestPending = 9;
        identified.body = Codec.encodeTagged(command);
        return Codec.encodeTagged(identified);
    }

    @Test
    void snapshotOfOlderProcessIsReadAndUpdated() {
        var olderState = new OlderPartState();
        olderState.index = 40;
        olderState.manifest.version = 5;
        olderState.manifest.topicVersion = 39;
        olderState.manifest.text = olderState.manifest.source = "b";
        var fingerprint = ConfigurationFingerprint.of("b", 3);
        olderState.manifest.taken.put(5L, fingerprint.legacyHash());
        olderState.manifest.marks.put("zone:z1", Plan.EMPTIED);
        var records = new Records();
        records.restoreSnapshot(Codec.encode(olderState));
        assertTrue(records.rows().sessions.isEmpty());
        assertEquals(0, records.apply(41, Codec.encodeTagged(manifestPut(3, 5, "b"))).kind);
        assertEquals(0, records.apply(42, identifiedCommand(manifestPut(5, 6, "c"))).kind);
        assertEquals(6, records.rows().manifest.version);
        assertTrue(records.rows().manifest.marks.containsKey("zone:z1"));
        assertEquals(1, records.rows().sessions.size());
    }

    @Test
    void olderProcessReadsSnapshot() {
        var records = new Records();
        records.apply(1, identifiedCommand(manifestPut(0, 5, "a")));
        var olderState = Codec.decode(OlderPartState.class, records.encodeSnapshot());
        assertEquals(5, olderState.manifest.version);
        assertEquals(ConfigurationFingerprint.of("a", 0).legacyHash(), olderState.manifest.taken.get(5L));
        assertEquals(1, olderState.index);
    }

    @Test
    void olderProcessReadsRequestAndResult() {
        var request = new Messages.CommandRequest();
        request.id = 3;
        request.part = 2;
        request.from = new Node("s1", Node.STORE, "z1", "s1", 1);
        request.body = new byte[] {1, 2};
        request.sessionId = request.lowestPending = request.leaderTerm = request.leaderDeadline = -7;
        var olderRequest = Codec.decode(OlderRequest.class, Codec.encode(request));
        assertEquals(3, olderRequest.id);
        assertEquals("s1", olderRequest.from.name);
        assertArrayEquals(request.body, olderRequest.body);
        var result = new Messages.CommandResult();
        result.id = 3;
        result.kind = 4;
        result.sessionId = result.leaderTerm = result.leaderClock = -7;
        assertEquals(4, Codec.decode(OlderResult.class, Codec.encode(result)).kind);
    }

    @Test
    void requestAndResultOfOlderProcessAreRead() {
        var olderRequest = new OlderRequest();
        olderRequest.id = 3;
        olderRequest.body = new byte[] {1, 2};
        var request = Codec.decode(Messages.CommandRequest.class, Codec.encode(olderRequest));
        assertEquals(3, request.id);
        assertEquals(0, request.sessionId);
        assertEquals(0, request.leaderDeadline);
        var olderResult = new OlderResult();
        olderResult.id = 3;
        olderResult.kind = 4;
        var result = Codec.decode(Messages.CommandResult.class, Codec.encode(olderResult));
        assertEquals(4, result.kind);
        assertEquals(0, result.sessionId);
        assertEquals(0, result.leaderTerm);
    }
}
