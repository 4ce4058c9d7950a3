package craneway.state.message;

/** A process of the core as other processes know it. The fields are part of the wire format. */
public final class Node {
    /** Increments of an incarnation are spread below this by the session id. */
    private static final long MAX_INCARNATION_STEP = 1_024;

    /** The version of the wire format that this code supports. */
    public static final int WIRE = 2;

    /** The first version of the wire format with the step commands. */
    public static final int STEPS = 2;

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
    public long grace;
    /** The version of the wire format that the process supports. */
    public int wire;
    /** The address, IP:PORT, where a router accepts requests; empty if it does not say. */
    public String clientAddress = "";
    /**
     * Whether the process supports the renewals of several parts in one message; false from a process too old to say.
     */
    public boolean renewals;
    /**
     * The session id: drawn at random when the process starts and constant while it runs; 0 from a process too old to
     * say.
     */
    public long life;
    /**
     * Whether the process supports identified commands and reports its clock when it leads a part; false from a process
     * too old to say.
     */
    public boolean fenced;

    /** Creates an empty node to be filled by the decoder. */
    public Node() {}

    /** Creates a node that supports everything the current version does. */
    public Node(String name, String kind, String zone, String peerAddress, long incarnation) {
        this.name = name;
        this.kind = kind;
        this.zone = zone;
        this.peerAddress = peerAddress;
        this.incarnation = incarnation;
        this.wire = WIRE;
        this.renewals = true;
        this.fenced = true;
    }

    /**
     * Returns the node of a process that has just started. Its incarnation is a first offer; the core tells it the one
     * it has to exceed.
     */
    public static Node started(String name, String kind, String zone, String peerAddress, long sessionId) {
        var node = new Node(name, kind, zone, peerAddress, 0);
        node.life = sessionId | 1;
        node.incarnation = node.above(0);
        return node;
    }

    /**
     * Returns an incarnation above the known one. The increment depends on the session, so that two processes under one
     * name choose different incarnations.
     */
    public long above(long known) {
        return known + 1 + (life == 0 ? 0 : Math.floorMod(life >> 1, MAX_INCARNATION_STEP));
    }

    /** Returns whether the other node is known to be another process than this one. */
    public boolean otherLife(Node other) {
        return life != 0 && other.life != 0 && life != other.life;
    }

    /** Returns a copy with another incarnation and serving state. */
    public Node with(long newIncarnation, boolean nowServing) {
        var copy = new Node(name, kind, zone, peerAddress, newIncarnation);
        copy.clientAddress = clientAddress;
        copy.storeId = storeId;
        copy.coreId = coreId;
        copy.serving = nowServing;
        copy.grace = grace;
        copy.wire = wire;
        copy.renewals = renewals;
        copy.life = life;
        copy.fenced = fenced;
        return copy;
    }

    /** Returns a copy with another grace. */
    public Node with(long newGrace) {
        var copy = with(incarnation, serving);
        copy.grace = newGrace;
        return copy;
    }

    /** Returns whether the process is a router. */
    public boolean isRouter() {
        return kind.equals(ROUTER);
    }
}
