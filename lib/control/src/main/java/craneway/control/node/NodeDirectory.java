package craneway.control.node;

import craneway.model.unit.Hash;
import craneway.model.unit.TimingProfile;
import craneway.state.message.Messages.Founding;
import craneway.state.message.Messages.Hello;
import craneway.state.message.Node;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The nodes that this process knows, how it finds them, and what it tells them about itself. Processes greet seeds and
 * known stores at intervals; greetings carry the sender, the nodes it has heard recently and the record of its core.
 *
 * <p>Safe for several threads: fields are volatile or concurrent, and changes to {@link #self()} are synchronized.
 */
public final class NodeDirectory {
    /** A node counts as heard recently if its last greeting arrived within this time, in microseconds. */
    public static final long RECENTLY_HEARD_MICROS = 3_000_000;

    /** A node is forgotten after this many microseconds without a greeting. */
    public static final long FORGET_AFTER_MICROS = 60_000_000;

    /** With the low-traffic profile, how often a process without a core or without a live store greets. */
    private static final long SEARCH_INTERVAL_MICROS = 80_000;

    /** A node that this process knows. */
    public static final class KnownNode {
        public volatile Node node;
        /** When a greeting of this node itself arrived last. */
        public volatile long lastHeardAt = Long.MIN_VALUE / 2;
        /** When this process first learned of the node; 0 until then. */
        public volatile long learnedAt;
        /** The digest of the empty stores that this node sees; see {@link NodeDirectory#setEmptyStoresDigest}. */
        public volatile long emptyStoresDigest;
        /** The digest of the list of stores that this node sent last, which it need not send again. */
        private volatile long listDigest;
        /**
         * The node with another store id that this one replaces, kept until this one has been heard itself. What
         * other nodes report may be outdated, so it is no proof that a disk was lost.
         */
        private volatile Node earlierNode;
    }

    private final Port port;
    private final List<String> seeds;
    private final TimingProfile timing;
    private final Set<Long> lostDiskStores = ConcurrentHashMap.newKeySet();
    private final Map<String, KnownNode> knownByName = new ConcurrentHashMap<>();
    private volatile Node self;
    private volatile Founding founding;
    private volatile Founding newerFounding;
    private volatile long emptyStoresDigest;
    private volatile long nextGreetingAt;
    private int greetingRound;

    /** Creates a directory with the standard timing. */
    public NodeDirectory(Port port, Node self, List<String> seeds) {
        this(port, self, seeds, TimingProfile.STANDARD);
    }

    /** Creates a directory for a process; {@code seeds} are addresses to greet before any node is known. */
    public NodeDirectory(Port port, Node self, List<String> seeds, TimingProfile timing) {
        this.timing = timing;
        this.port = port;
        this.self = self;
        this.seeds = seeds;
    }

    /** The node of this process; replaced when its incarnation, serving state or grace changes. */
    public Node self() {
        return self;
    }

    /** Raises the incarnation of this process above a known one and greets at the next tick. */
    public synchronized void raiseIncarnation(long knownIncarnation) {
        if (self.incarnation > knownIncarnation) return;
        self = self.with(self.incarnationAbove(knownIncarnation), self.serving);
        greetAtNextTick();
    }

    /** Sets whether this process serves. */
    public synchronized void setServing(boolean serving) {
        self = self.with(self.incarnation, serving);
    }

    /** Sets how long, in microseconds, this process may act after its lease has lapsed. */
    public synchronized void setGraceMicros(long graceMicros) {
        self = self.with(graceMicros);
    }

    /** Sets the digest of the empty stores that this store sees; greetings carry it until a core is bootstrapped. */
    public void setEmptyStoresDigest(long digest) {
        emptyStoresDigest = digest;
    }

    /** The record of the core that this process belongs to or has learned of from a greeting; null if there is none. */
    public Founding founding() {
        return founding;
    }

    /**
     * A newer generation of this core, known from a greeting, that this process has to follow; null if there is none.
     */
    public Founding newerFounding() {
        return newerFounding;
    }

    /** Whether the sender belongs to the same core, of whatever generation. */
    public boolean hasSameOrigin(Hello hello) {
        return founding != null && founding.hasSameOrigin(hello.founding);
    }

    /** Changes to a newer generation of the core; this process does not serve until it is current there. */
    public synchronized void followCore(Founding successor) {
        newerFounding = null;
        founding = successor;
        self = self.with(self.incarnation, false);
        self.coreId = successor.coreId;
    }

    /** Sets the core that this process belongs to. */
    public synchronized void founding(Founding newFounding, long coreId) {
        founding = newFounding;
        self.coreId = coreId;
    }

    /** Leaves the core, after its data on disk turned out to be damaged. */
    public synchronized void forgetCore() {
        founding = null;
        self.coreId = 0;
    }

    /** All known nodes, without this one. */
    public Collection<KnownNode> knownNodes() {
        return knownByName.values();
    }

    /** Whether a greeting of the node arrived recently. */
    public boolean wasHeardRecently(String name, long now) {
        var entry = knownByName.get(name);
        return entry != null && now - entry.lastHeardAt < RECENTLY_HEARD_MICROS;
    }

    /** The node with this name, this one included; null if it is unknown. */
    public Node nodeByName(String name) {
        if (name.equals(self.name)) return self;
        var entry = knownByName.get(name);
        return entry == null ? null : entry.node;
    }

    /** The node with this store id, the one heard last if several claim it; null if it is unknown. */
    public Node storeById(long storeId) {
        if (self.storeId == storeId) return self;
        KnownNode best = null;
        for (var entry : knownByName.values())
            if (entry.node.storeId == storeId && (best == null || entry.lastHeardAt > best.lastHeardAt)) best = entry;
        return best == null ? null : best.node;
    }

    /** All known stores, this one included if it is a store. */
    public List<Node> stores() {
        var stores = new ArrayList<Node>();
        if (self.kind.equals(Node.STORE)) stores.add(self);
        for (var entry : knownByName.values()) if (entry.node.kind.equals(Node.STORE)) stores.add(entry.node);
        return stores;
    }

    /** Whether the disk of this store is known to be lost: its node came back with another store id. */
    public boolean isDiskLost(long storeId) {
        return lostDiskStores.contains(storeId);
    }

    /**
     * Records that a newer process has taken the place of a node. If its store id differs, the disk of the old one is
     * lost.
     */
    public void recordReplacement(Node oldNode, Node newNode) {
        var isSuccessor = oldNode.name.equals(newNode.name) && newNode.incarnation > oldNode.incarnation;
        if (!isSuccessor || oldNode.storeId == 0 || newNode.storeId == 0 || oldNode.storeId == newNode.storeId) return;
        lostDiskStores.add(oldNode.storeId);
        lostDiskStores.remove(newNode.storeId);
    }

    /** Records a node that another node reported, or that sent a greeting; null is ignored. */
    public void learnNode(Node node, long now) {
        if (node == null) return;
        if (node.name.equals(self.name)) {
            outrankEarlierSession(node);
            return;
        }
        var entry = knownByName.computeIfAbsent(node.name, name -> new KnownNode());
        if (entry.node == null || node.incarnation > entry.node.incarnation) replaceNode(entry, node);
        if (entry.learnedAt == 0) entry.learnedAt = now;
    }

    /** Schedules greetings for the next tick. */
    public void greetAtNextTick() {
        nextGreetingAt = 0;
    }

    /** Replaces the node of an entry, and remembers the old one if its store id differs. */
    private void replaceNode(KnownNode entry, Node node) {
        if (entry.node != null && entry.node.storeId != node.storeId) entry.earlierNode = entry.node;
        entry.node = node;
    }

    /**
     * Raises the incarnation above that of a node with this name at this address: it must be an earlier process that
     * has ended, since this process holds the address now.
     */
    private void outrankEarlierSession(Node node) {
        var outranksThis = node.incarnation > self.incarnation
                || node.incarnation == self.incarnation && node.isOtherSession(self);
        if (outranksThis && node.peerAddress.equals(self.peerAddress)) raiseIncarnation(node.incarnation);
    }

    /** Greets other nodes and forgets silent ones, if the next round is due. */
    public void tick(long now) {
        if (now < nextGreetingAt) return;
        if (knownByName
                .values()
                .removeIf(entry -> now - Math.max(entry.lastHeardAt, entry.learnedAt) > FORGET_AFTER_MICROS))
            knownByName.values().forEach(entry -> entry.listDigest = 0);
        if (timing.lowTraffic()) greetLowTraffic(now);
        else greet(now);
    }

    /** Greets all seeds and stores, and all known nodes until this process belongs to a core. */
    private void greet(long now) {
        nextGreetingAt = now + timing.helloInterval();
        var addresses = new LinkedHashSet<>(seeds);
        for (var entry : knownByName.values())
            if (self.coreId == 0 || entry.node.kind.equals(Node.STORE)) addresses.add(entry.node.peerAddress);
        addresses.remove(self.peerAddress);
        var hello = fullHello(true, now);
        addresses.forEach(address -> port.send(address, hello));
    }

    /**
     * Greets fewer nodes: stores greet all stores and one seed in turn, routers one store in turn. A process without
     * a core or a live store greets all seeds and stores.
     */
    private void greetLowTraffic(long now) {
        var stores = knownByName.values().stream()
                .filter(entry -> entry.node.kind.equals(Node.STORE))
                .toList();
        var isDisconnected =
                self.coreId == 0 || stores.stream().noneMatch(entry -> now - entry.lastHeardAt < RECENTLY_HEARD_MICROS);
        nextGreetingAt = now
                + (isDisconnected ? Math.min(SEARCH_INTERVAL_MICROS, timing.helloInterval()) : timing.helloInterval());
        var addresses = new LinkedHashSet<String>();
        if (isDisconnected) addresses.addAll(seeds);
        else if (!seeds.isEmpty() && !self.isRouter())
            addresses.add(seeds.get(Math.floorMod(greetingRound, seeds.size())));
        if (self.isRouter() && !isDisconnected)
            addresses.add(stores.get(Math.floorMod(greetingRound, stores.size())).node.peerAddress);
        else stores.forEach(entry -> addresses.add(entry.node.peerAddress));
        greetingRound++;
        addresses.remove(self.peerAddress);
        addresses.forEach(address -> port.send(address, lowTrafficHello(true, knownByAddress(address))));
    }

    /** The known node at an address; null if there is none. */
    private KnownNode knownByAddress(String address) {
        return knownByName.values().stream()
                .filter(entry -> entry.node.peerAddress.equals(address))
                .findFirst()
                .orElse(null);
    }

    /**
     * A greeting without the list of known stores, which a reply carries only if the recipient does not have it yet.
     */
    private Hello lowTrafficHello(boolean wantsReply, KnownNode recipient) {
        var hello = new Hello();
        hello.from = self;
        hello.wantsReply = wantsReply;
        hello.foundersDigest = emptyStoresDigest;
        hello.lowTraffic = true;
        if (recipient == null || recipient.node.coreId != self.coreId) hello.founding = founding;
        if (recipient != null) hello.knownListDigest = recipient.listDigest;
        return hello;
    }

    /** The reply to a greeting; it names a later process of the same name if one is known. */
    private Hello replyTo(Hello hello, long now) {
        var entry = knownByName.get(hello.from.name);
        if (!hello.lowTraffic) {
            var reply = fullHello(false, now);
            if (entry != null && entry.node.incarnation > hello.from.incarnation) reply.knownNodes.add(entry.node);
            return reply;
        }
        var reply = lowTrafficHello(false, entry);
        if (hello.from.coreId != self.coreId || entry != null && entry.node.incarnation > hello.from.incarnation)
            reply.founding = founding;
        var stores = knownByName.values().stream()
                .filter(other -> now - other.lastHeardAt < RECENTLY_HEARD_MICROS && other.node.kind.equals(Node.STORE))
                .map(other -> other.node)
                .sorted(Comparator.comparing(node -> node.name))
                .toList();
        reply.storeListDigest = digestOf(stores);
        if (reply.storeListDigest != hello.knownListDigest) reply.knownNodes.addAll(stores);
        if (entry != null && entry.node.incarnation > hello.from.incarnation) reply.knownNodes.add(entry.node);
        return reply;
    }

    /** Makes a router part of the core of a node that greeted it. */
    private synchronized void joinCore(long coreId) {
        self.coreId = coreId;
    }

    /** A non-zero digest of a sorted list of stores. */
    private static long digestOf(List<Node> stores) {
        var digest = 1L;
        for (var node : stores)
            digest = Hash.of(
                    Hash.of(digest, Hash.of(node.name + " " + node.peerAddress)),
                    Hash.of(node.incarnation, node.storeId));
        return digest | 1;
    }

    /** A greeting with all nodes heard recently. */
    private Hello fullHello(boolean wantsReply, long now) {
        var hello = new Hello();
        hello.from = self;
        hello.wantsReply = wantsReply;
        hello.foundersDigest = emptyStoresDigest;
        hello.founding = founding;
        for (var entry : knownByName.values())
            if (now - entry.lastHeardAt < RECENTLY_HEARD_MICROS) hello.knownNodes.add(entry.node);
        return hello;
    }

    /**
     * Handles a greeting and replies if the sender wants it. A greeting from another core is ignored, unless it shows
     * that one side is an older generation.
     */
    public void receive(Hello hello, long now) {
        if (hello.from == null || hello.from.name.equals(self.name)) return;
        if (hello.from.coreId != 0 && self.coreId != 0 && hello.from.coreId != self.coreId) {
            if (hasSameOrigin(hello) && hello.founding.isNewerThan(founding)) newerFounding = hello.founding;
            else if (hasSameOrigin(hello) && hello.wantsReply) port.send(hello.from.peerAddress, fullHello(false, now));
            return;
        }
        learnNode(hello.from, now);
        var entry = knownByName.get(hello.from.name);
        if (entry.node.incarnation == hello.from.incarnation) {
            replaceNode(entry, hello.from);
            if (entry.earlierNode != null) recordReplacement(entry.earlierNode, hello.from);
            entry.earlierNode = null;
            entry.lastHeardAt = now;
            entry.emptyStoresDigest = hello.foundersDigest;
            if (hello.storeListDigest != 0) entry.listDigest = hello.storeListDigest;
        }
        hello.knownNodes.forEach(node -> learnNode(node, now));
        if (founding == null && hello.founding != null) founding = hello.founding;
        if (self.coreId == 0 && self.isRouter() && hello.from.coreId != 0) joinCore(hello.from.coreId);
        if (hello.wantsReply) port.send(hello.from.peerAddress, replyTo(hello, now));
    }
}
