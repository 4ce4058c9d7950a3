package craneway.state.message;

import java.util.ArrayList;
import java.util.List;

/**
 * The messages between processes, apart from those of a part's group. The order and types of the fields are the wire
 * format; names are not written. Times are microseconds.
 */
public final class Messages {
    private Messages() {}

    /** A greeting, by which processes find each other and learn of the core. */
    public static final class Hello {
        public Node from;
        /** Whether the receiver should greet back. */
        public boolean wantsReply;
        /** A digest of the empty stores that the sender sees; stores bootstrap a core once their digests agree. */
        public long foundersDigest;

        public Founding founding;
        /** The processes that the sender knows. */
        public List<Node> knownNodes = new ArrayList<>();
        /** In a low-traffic reply, a digest of the sender's list of stores. */
        public long storeListDigest;
        /** In a low-traffic greeting, the digest of the receiver's list that the sender already has. */
        public long knownListDigest;
        /** Whether the sender leaves out what the receiver already has. */
        public boolean lowTraffic;
    }

    /** A member's renewal of its lease on one part. */
    public static final class Renewal {
        public int part;
        public Node from;
        /** When the renewal was sent, by the sender's clock; the reply returns it. */
        public long sentAt;

        public boolean leaving;
        /** The version of the member list that the sender has; negative before it has one. */
        public long membersVersion;
        /** The topics that the sender follows. */
        public List<String> topics = new ArrayList<>();
        /** The version that the sender has of each topic. */
        public List<Long> versions = new ArrayList<>();

        public List<CellSignal> signals = new ArrayList<>();
    }

    /** The renewals of several parts with the same leader; the fields they share are sent once. */
    public static final class Renewals {
        public Node from;
        public long sentAt;
        public boolean leaving;
        /** The incarnation of the leader that the sender knows. */
        public long leaderIncarnation;

        public List<Renewal> parts = new ArrayList<>();
    }

    /** The replies to {@link Renewals}. The leader is left out if it is the one that the renewals named. */
    public static final class RenewalReplies {
        public long sentAt;
        public long incarnation;
        public long graceMicros;
        public Node leader;
        public List<RenewalReply> parts = new ArrayList<>();
    }

    /** What a router observed of a cell since its last renewal. */
    public static final class CellSignal {
        public String service;
        public String cell;
        /** The number of answers that began. */
        public long startedAnswers;
        /** The number of failures. */
        public long failures;
        /** The sum of the times to the first token of those answers. */
        public long firstTokenMicros;
    }

    /** The leader's reply to a renewal. */
    public static final class RenewalReply {
        public int part;
        /** 0 if the lease is granted, else the code of the problem. */
        public int kind;

        public long incarnation;
        /** The send time of the renewal, from which the lease is counted. */
        public long sentAt;

        public Node leader;
        public long membersVersion;
        /** The member list, or null if the sender already has it. */
        public List<Node> members;
        /** The topics of the part. */
        public List<String> topics = new ArrayList<>();
        /** The current version of each topic. */
        public List<Long> versions = new ArrayList<>();

        public long graceMicros;
        /** The member recorded under this name, if the renewal came from an earlier process of that name. */
        public Node recordedMember;
    }

    /** Asks for updates of a topic. */
    public static final class Subscription {
        public Node from;
        public String topic;
        /** The version that the sender has. */
        public long knownVersion;
    }

    /** A new version of a topic. */
    public static final class TopicUpdate {
        public String topic;
        public long version;
        public byte[] body;
    }

    /** A query or command for the leader of a part. */
    public static final class CommandRequest {
        /** Identifies the request within the sender's session. */
        public long id;

        public int part;
        public Node from;
        /** The tagged query or command; empty if the sender only asks for the leader's clock. */
        public byte[] body;
        /** The session id of the sender, within which {@link #id} increases; 0 from a process too old to say. */
        public long sessionId;
        /** The lowest id of this session whose result the sender still waits for. */
        public long lowestPending;
        /**
         * The term of the leader by whose clock {@link #leaderDeadline} is given; 0 if the sender knows no clock yet.
         */
        public long leaderTerm;
        /** The deadline after which the command must not take effect, by the steady clock of that leader. */
        public long leaderDeadline;
    }

    /** The result of a query or command. */
    public static final class CommandResult {
        public long id;
        /** 0 for success, else the code of the problem. */
        public int kind;

        public String detail = "";
        /** How long to wait before a retry, in microseconds; 0 if there is no advice. */
        public long retryAfterMicros;
        /** A version or number that the command produced; its meaning depends on the command. */
        public long version;
        /** The part's leader, if the request has to be sent there instead. */
        public Node leader;

        public byte[] body;
        /** The session id of the request; 0 from a process too old to say. */
        public long sessionId;
        /** The term of the leader that answers; 0 if no leader answers. */
        public long leaderTerm;

        /** The steady clock of that leader when it answered. */
        public long leaderClock;
    }

    /** Tells other routers how many tokens the sender gave a runner to prefill. */
    public static final class PrefillNotice {
        public String runner = "";
        /** The number of tokens to prefill. */
        public int prefillTokens;
        /** The ids of the shared prompt parts that the runner then has in its prefix cache. */
        public long[] sharedPartIds = {};

        /** The size of each shared part, in tokens. */
        public int[] sharedPartTokens = {};
    }

    /** Tells other routers that a runner has stopped responding. */
    public static final class SilenceNotice {
        public String runner = "";
    }

    /** Asks a part's leader to make the sending store a member, or to let it go. */
    public static final class Join {
        public int part;
        public Node from;
        /** Whether the sender is about to stop and asks whether it may; leaders of earlier versions ignore this. */
        public boolean leaving;
        /** Whether this is the leader's answer to a store that is about to stop. */
        public boolean isReply;

        /** In that answer, whether the store may stop. */
        public boolean mayStop;
    }

    /** The identity of a core: its id and its founders, the stores that bootstrapped it. */
    public static final class Founding {
        public long coreId;
        public long[] storeIds = {};
        public String[] zones = {};
        /** The id of the core before its first rebuild; 0 if it was never rebuilt. */
        public long originalCoreId;
        /** The number of times that the core was rebuilt. */
        public int generation;

        /** Returns the id of the core before its first rebuild. */
        public long originalCoreId() {
            return originalCoreId == 0 ? coreId : originalCoreId;
        }

        /** Returns whether the other core is known and stems from the same original core. */
        public boolean hasSameOrigin(Founding other) {
            return other != null && other.originalCoreId() == originalCoreId();
        }

        /** Returns whether this core is of a later generation, or of the same one with a higher id. */
        public boolean isNewerThan(Founding other) {
            return generation != other.generation
                    ? generation > other.generation
                    : Long.compareUnsigned(coreId, other.coreId) > 0;
        }

        /** Returns whether the store is one of the founders. */
        public boolean hasStore(long storeId) {
            for (var store : storeIds) if (store == storeId) return true;
            return false;
        }
    }
}
