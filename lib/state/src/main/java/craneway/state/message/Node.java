package craneway.state.message;

public final class Node {
    private static final long MOST_STEP = 1_024;

    public static final int WIRE_VERSION = 2, STEPS_WIRE_VERSION = 2;
    public static final String STORE = "store", ROUTER = "router";

    public String name = "";
    public String kind = "";
    public String zone = "";
    public String peerAddress = "";
    public long incarnation;
    public long storeId;
    public long coreId;
    public boolean serving;
    public long graceMicros;
    public int wireVersion;
    /** Where a router takes requests, IP:PORT; empty where it does not tell. */
    public String clientAddress = "";
    /** Whether it reads renewals of several parts in one message; false where an older process does not tell. */
    public boolean supportsRenewalBatches;
    /** Drawn at random when the process started, the same as long as it lives; 0 where an older process does not tell. */
    public long sessionId;
    /** Whether it reads commands under an identity and tells its leader's clock; false where an older process does not tell. */
    public boolean supportsIdentifiedCommands;

    public Node() {}

    public Node(String name, String kind, String zone, String peerAddress, long incarnation) {
        this.name = name;
        this.kind = kind;
        this.zone = zone;
        this.peerAddress = peerAddress;
        this.incarnation = incarnation;
        this.wireVersion = WIRE_VERSION;
        this.supportsRenewalBatches = true;
        this.supportsIdentifiedCommands = true;
    }

    /** A process that has just started: its incarnation is only a first offer, the core names the one it must outrank. */
    public static Node ofNewProcess(String name, String kind, String zone, String peerAddress, long life) {
        var n = new Node(name, kind, zone, peerAddress, 0);
        n.sessionId = life | 1;
        n.incarnation = n.incarnationAbove(0);
        return n;
    }

    /** An incarnation above the known one, by a step that differs from life to life. */
    public long incarnationAbove(long known) {
        return known + 1 + (sessionId == 0 ? 0 : Math.floorMod(sessionId >> 1, MOST_STEP));
    }

    /** Whether the other node is known to be another process than this one. */
    public boolean isOtherSession(Node other) {
        return sessionId != 0 && other.sessionId != 0 && sessionId != other.sessionId;
    }

    public Node with(long newIncarnation, boolean nowServing) {
        var n = new Node(name, kind, zone, peerAddress, newIncarnation);
        n.clientAddress = clientAddress;
        n.storeId = storeId;
        n.coreId = coreId;
        n.serving = nowServing;
        n.graceMicros = graceMicros;
        n.wireVersion = wireVersion;
        n.supportsRenewalBatches = supportsRenewalBatches;
        n.sessionId = sessionId;
        n.supportsIdentifiedCommands = supportsIdentifiedCommands;
        return n;
    }

    public Node with(long newGrace) {
        var n = with(incarnation, serving);
        n.graceMicros = newGrace;
        return n;
    }

    public boolean isRouter() {
        return kind.equals(ROUTER);
    }
}
