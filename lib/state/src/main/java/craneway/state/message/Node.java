package craneway.state.message;

/** A process of the core as other processes know it. The fields are part of the wire format. */
public final class Node {
    /** Increments of an incarnation are spread below this by the session id. */
    private static final long MAX_INCARNATION_STEP = 1_024;

    /** The version of the wire format that this code supports. */
    public static final int WIRE_VERSION = 2;

    /** The first version of the wire format with the step commands. */
    public static final int STEPS_WIRE_VERSION = 2;

    /** The kind of a store. */
    public static final String STORE = "store";

    /** The kind of a router. */
    public static final String ROUTER = "router";

    public String name = "";
    public String kind = "";
    public String zone = "";
    public String peerAddress = "";
    public long incarnation;
    public long storeId;
    public long coreId;
    public boolean serving;
    /** How long after the end of its lease this process may still act, in microseconds. */
    public long graceMicros;
    /** The version of the wire format that the process supports. */
    public int wireVersion;
    /** The address, IP:PORT, where a router accepts requests; empty if it does not say. */
    public String clientAddress = "";
    /**
     * Whether the process supports the renewals of several parts in one message; false from a process too old to say.
     */
    public boolean supportsRenewalBatches;
    /**
     * The session id: drawn at random when the process starts and constant while it runs; 0 from a process too old to
     * say.
     */
    public long sessionId;
    /**
     * Whether the process supports identified commands and reports its clock when it leads a part; false from a process
     * too old to say.
     */
    public boolean supportsIdentifiedCommands;

    /** Creates an empty node to be filled by the decoder. */
    public Node() {}

    /** Creates a node that supports everything the current version does. */
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

    /**
     * Returns the node of a process that has just started. Its incarnation is a first offer; the core tells it the one
     * it has to exceed.
     */
    public static Node ofNewProcess(String name, String kind, String zone, String peerAddress, long sessionId) {
        var node = new Node(name, kind, zone, peerAddress, 0);
        node.sessionId = sessionId | 1;
        node.incarnation = node.incarnationAbove(0);
        return node;
    }

    /**
     * Returns an incarnation above the known one. The increment depends on the session, so that two processes under one
     * name choose different incarnations.
     */
    public long incarnationAbove(long known) {
        return known + 1 + (sessionId == 0 ? 0 : Math.floorMod(sessionId >> 1, MAX_INCARNATION_STEP));
    }

    /** Returns whether the other node is known to be another process than this one. */
    public boolean isOtherSession(Node other) {
        return sessionId != 0 && other.sessionId != 0 && sessionId != other.sessionId;
    }

    /** Returns a copy with another incarnation and serving state. */
    public Node with(long newIncarnation, boolean nowServing) {
        var copy = new Node(name, kind, zone, peerAddress, newIncarnation);
        copy.clientAddress = clientAddress;
        copy.storeId = storeId;
        copy.coreId = coreId;
        copy.serving = nowServing;
        copy.graceMicros = graceMicros;
        copy.wireVersion = wireVersion;
        copy.supportsRenewalBatches = supportsRenewalBatches;
        copy.sessionId = sessionId;
        copy.supportsIdentifiedCommands = supportsIdentifiedCommands;
        return copy;
    }

    /** Returns a copy with another grace. */
    public Node with(long newGrace) {
        var copy = with(incarnation, serving);
        copy.graceMicros = newGrace;
        return copy;
    }

    /** Returns whether the process is a router. */
    public boolean isRouter() {
        return kind.equals(ROUTER);
    }
}
