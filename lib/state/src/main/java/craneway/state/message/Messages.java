package craneway.state.message;

import java.util.ArrayList;
import java.util.List;

public final class Messages {
    private Messages() {}

    public static final class Hello {
        public Node from;
        public boolean wantsReply;
        public long foundersDigest;
        public Founding founding;
        public List<Node> knownNodes = new ArrayList<>();
        public long storeListDigest;
        public long knownListDigest;
        public boolean lowTraffic;
    }

    public static final class Renewal {
        public int part;
        public Node from;
        public long sentAt;
        public boolean leaving;
        public long membersVersion;
        public List<String> topics = new ArrayList<>();
        public List<Long> versions = new ArrayList<>();
        public List<CellSignal> signals = new ArrayList<>();
    }

    /** The renewals of several parts at once; what they share is said once. */
    public static final class Renewals {
        public Node from;
        public long sentAt;
        public boolean leaving;
        public long leaderIncarnation;
        public List<Renewal> parts = new ArrayList<>();
    }

    /** The replies to them; a leader that the renewals named already is left out. */
    public static final class RenewalReplies {
        public long sentAt;
        public long incarnation;
        public long graceMicros;
        public Node leader;
        public List<RenewalReply> parts = new ArrayList<>();
    }

    public static final class CellSignal {
        public String service;
        public String cell;
        public long startedAnswers;
        public long failures;
        public long firstTokenMicros;
    }

    public static final class RenewalReply {
        public int part;
        public int kind;
        public long incarnation;
        public long sentAt;
        public Node leader;
        public long membersVersion;
        public List<Node> members;
        public List<String> topics = new ArrayList<>();
        public List<Long> versions = new ArrayList<>();
        public long graceMicros;
        /** The member that stands under this name, where the renewal came from an older life of it. */
        public Node recordedMember;
    }

    public static final class Subscription {
        public Node from;
        public String topic;
        public long knownVersion;
    }

    public static final class TopicUpdate {
        public String topic;
        public long version;
        public byte[] body;
    }

    public static final class CommandRequest {
        public long id;
        public int part;
        public Node from;
        /** The query or command; empty where the sender only wants to learn the leader's clock. */
        public byte[] body;
        /** The life of the asking process; 0 from a process too old to tell. Within it, {@code id} rises. */
        public long sessionId;
        /** The least id of this life that still waits for its verdict. */
        public long lowestPending;
        /** The term whose leader's clock the bound is told by; 0: none is known yet. */
        public long leaderTerm;
        /** When the command lapses, by the steady clock of that leader, in microseconds. */
        public long leaderDeadline;
    }

    public static final class CommandResult {
        public long id;
        public int kind;
        public String detail = "";
        public long retryAfterMicros;
        public long version;
        public Node leader;
        public byte[] body;
        /** The life that asked; 0 from a process too old to tell. */
        public long sessionId;
        /** The term of the leader that answers, and its steady clock as it did; 0: no leader answers. */
        public long leaderTerm;

        public long leaderClock;
    }

    /** A router tells the others what it gave a runner to read, in tokens. */
    public static final class PrefillNotice {
        public String runner = "";
        public int prefillTokens;
        /** The shared parts that it then keeps, by id and tokens. */
        public long[] sharedPartIds = {};

        public int[] sharedPartTokens = {};
    }

    /** A router tells the others that a runner has fallen silent. */
    public static final class SilenceNotice {
        public String runner = "";
    }

    public static final class Join {
        public int part;
        public Node from;
        /** The sender is about to stop and asks whether it may go; an earlier leader takes no notice. */
        public boolean leaving;
        /** A leader's answer to that, and whether the store that asked may go. */
        public boolean isReply;

        public boolean mayStop;
    }

    public static final class Founding {
        public long coreId;
        public long[] storeIds = {};
        public String[] zones = {};
        public long originalCoreId;
        public int generation;

        public long originalCoreId() {
            return originalCoreId == 0 ? coreId : originalCoreId;
        }

        public boolean hasSameOrigin(Founding o) {
            return o != null && o.originalCoreId() == originalCoreId();
        }

        public boolean isNewerThan(Founding o) {
            return generation != o.generation ? generation > o.generation : Long.compareUnsigned(coreId, o.coreId) > 0;
        }

        public boolean hasStore(long id) {
            for (var s : storeIds) if (s == id) return true;
            return false;
        }
    }
}
