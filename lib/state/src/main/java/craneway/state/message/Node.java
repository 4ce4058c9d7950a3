package craneway.state.message;

public final class Node {
    private static final long MAX_INCARNATION_STEP = 1_024;

    public static final int WIRE = 2, STEPS = 2;
    public static final String STORE = "store", ROUTER = "router";

    public String name = "";
    public String kind = "";
    public String zone = "";
    public String peerAddress = "";
    public long incarnation;
    public long storeId;
    public long coreId;
    public boolean serving;
    public long grace;
    public int wire;
    /** Where a router takes requests, IP:PORT; empty where it does not tell. */
    public String clientAddress = "";
    /** Whether it reads renewals of several parts in one message; false where an older process does not tell. */
    public boolean renewals;
    /** Drawn at random when the process started, the same as long as it lives; 0 where an older process does not tell. */
    public long life;
    /** Whether it reads commands under an identity and tells its leader's clock; false where an older process does not tell. */
    public boolean fenced;

    public Node() {}

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

    /** A process that has just started: its incarnation is only a first offer, the core names the one it must outrank. */
    public static Node started(String name, String kind, String zone, String peerAddress, long life) {
        var n = new Node(name, kind, zone, peerAddress, 0);
        n.life = life | 1;
        n.incarnation = n.above(0);
        return n;
    }

    /** An incarnation above the known one, by a step that differs from life to life. */
    public long above(long known) {
        return known + 1 + (life == 0 ? 0 : Math.floorMod(life >> 1, MAX_INCARNATION_STEP));
    }

    /** Whether the other node is known to be another process than this one. */
    public boolean otherLife(Node other) {
        return life != 0 && other.life != 0 && life != other.life;
    }

    public Node with(long newIncarnation, boolean nowServing) {
        var n = new Node(name, kind, zone, peerAddress, newIncarnation);
        n.clientAddress = clientAddress;
        n.storeId = storeId;
        n.coreId = coreId;
        n.serving = nowServing;
        n.grace = grace;
        n.wire = wire;
        n.renewals = renewals;
        n.life = life;
        n.fenced = fenced;
        return n;
    }

    public Node with(long newGrace) {
        var n = with(incarnation, serving);
        n.grace = newGrace;
        return n;
    }

    public boolean isRouter() {
        return kind.equals(ROUTER);
    }
}
