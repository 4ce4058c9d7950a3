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

/** Messages and snapshots of processes without lives, bounds and digests are read, and those processes read the new ones. */
class OlderFormatTest {
    /** An ask as it was before lives. */
    public static final class OlderAsk {
        public long id;
        public int part;
        public Node from;
        public byte[] body;
    }

    /** A verdict as it was before lives. */
    public static final class OlderVerdict {
        public long id;
        public int kind;
        public String detail = "";
        public long retryAfter;
        public long version;
        public Node owner;
        public byte[] body;
    }

    /** The manifest's record as it was before digests. */
    public static final class OlderManifest {
        public long version;
        public long topicVersion;
        public long marksVersion;
        public String text = "";
        public String source = "";
        public TreeMap<Long, Long> taken = new TreeMap<>();
        public TreeMap<String, String> marks = new TreeMap<>();
    }

    /** A part's record as it was before lives. */
    public static final class OlderWhole {
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

    private static Commands.ManifestPut put(long base, long number, String source) {
        var c = new Commands.ManifestPut();
        c.baseVersion = base;
        c.senderNumber = number;
        c.text = c.sourceText = source;
        return c;
    }

    private static byte[] fenced(Object command) {
        var f = new Commands.IdentifiedCommand();
        f.sessionId = -5;
        f.sequence = 9;
        f.lowestPending = 9;
        f.body = Codec.encodeTagged(command);
        return Codec.encodeTagged(f);
    }

    @Test
    void aSnapshotOfAnOlderProcessIsReadAndWorkedOn() {
        var old = new OlderWhole();
        old.index = 40;
        old.manifest.version = 5;
        old.manifest.topicVersion = 39;
        old.manifest.text = old.manifest.source = "b";
        var print = Fingerprint.of("b", 3);
        old.manifest.taken.put(5L, print.hash());
        old.manifest.marks.put("zone:z1", Plan.EMPTIED);
        var records = new Records();
        records.restoreSnapshot(Codec.encode(old));
        assertTrue(records.rows().sessions.isEmpty());
        assertEquals(0, records.apply(41, Codec.encodeTagged(put(3, 5, "b"))).kind);
        assertEquals(0, records.apply(42, fenced(put(5, 6, "c"))).kind);
        assertEquals(6, records.rows().manifest.version);
        assertTrue(records.rows().manifest.marks.containsKey("zone:z1"));
        assertEquals(1, records.rows().sessions.size());
    }

    @Test
    void anOlderProcessReadsASnapshotOfThisOne() {
        var records = new Records();
        records.apply(1, fenced(put(0, 5, "a")));
        var old = Codec.decode(OlderWhole.class, records.encodeSnapshot());
        assertEquals(5, old.manifest.version);
        assertEquals(Fingerprint.of("a", 0).hash(), old.manifest.taken.get(5L));
        assertEquals(1, old.index);
    }

    @Test
    void anOlderProcessReadsAnAskAndAVerdictOfThisOne() {
        var a = new Messages.CommandRequest();
        a.id = 3;
        a.part = 2;
        a.from = new Node("s1", Node.STORE, "z1", "s1", 1);
        a.body = new byte[] {1, 2};
        a.sessionId = a.lowestPending = a.leaderTerm = a.leaderDeadline = -7;
        var oldAsk = Codec.decode(OlderAsk.class, Codec.encode(a));
        assertEquals(3, oldAsk.id);
        assertEquals("s1", oldAsk.from.name);
        assertArrayEquals(a.body, oldAsk.body);
        var v = new Messages.CommandResult();
        v.id = 3;
        v.kind = 4;
        v.sessionId = v.leaderTerm = v.leaderClock = -7;
        assertEquals(4, Codec.decode(OlderVerdict.class, Codec.encode(v)).kind);
    }

    @Test
    void anAskAndAVerdictOfAnOlderProcessAreRead() {
        var a = new OlderAsk();
        a.id = 3;
        a.body = new byte[] {1, 2};
        var read = Codec.decode(Messages.CommandRequest.class, Codec.encode(a));
        assertEquals(3, read.id);
        assertEquals(0, read.sessionId);
        assertEquals(0, read.leaderDeadline);
        var v = new OlderVerdict();
        v.id = 3;
        v.kind = 4;
        var verdict = Codec.decode(Messages.CommandResult.class, Codec.encode(v));
        assertEquals(4, verdict.kind);
        assertEquals(0, verdict.sessionId);
        assertEquals(0, verdict.leaderTerm);
    }
}
