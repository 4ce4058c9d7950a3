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

public final class NodeDirectory {
    public static final long RECENTLY_HEARD_MICROS = 3_000_000, FORGET_AFTER_MICROS = 60_000_000;
    private static final long SEARCH = 80_000;

    public static final class KnownNode {
        public volatile Node node;
        public volatile long lastHeardAt = Long.MIN_VALUE / 2;
        public volatile long learnedAt;
        public volatile long emptyStoresDigest;
        private volatile long list;
        /** The life before this one, until this one has been heard itself: hearsay may be old and condemns no disk. */
        private volatile Node earlier;
    }

    private final Port port;
    private final List<String> seeds;
    private final TimingProfile timing;
    private final Set<Long> isDiskLost = ConcurrentHashMap.newKeySet();
    private final Map<String, KnownNode> knownNodes = new ConcurrentHashMap<>();
    private volatile Node self;
    private volatile Founding founding;
    private volatile Founding newerFounding;
    private volatile long setEmptyStoresDigest;
    private volatile long due;
    private int turn;

    public NodeDirectory(Port port, Node self, List<String> seeds) {
        this(port, self, seeds, TimingProfile.STANDARD);
    }

    public NodeDirectory(Port port, Node self, List<String> seeds, TimingProfile timing) {
        this.timing = timing;
        this.port = port;
        this.self = self;
        this.seeds = seeds;
    }

    public Node self() {
        return self;
    }

    /** Raises this process's incarnation above the known one and tells the others at the next tick. */
    public synchronized void raiseIncarnation(long known) {
        if (self.incarnation > known) return;
        self = self.with(self.incarnationAbove(known), self.serving);
        greetAtNextTick();
    }

    /** Says whether this process serves. */
    public synchronized void setServing(boolean is) {
        self = self.with(self.incarnation, is);
    }

    /** Says how long this process acts on after its lease. */
    public synchronized void setGraceMicros(long micros) {
        self = self.with(micros);
    }

    public void setEmptyStoresDigest(long digest) {
        setEmptyStoresDigest = digest;
    }

    public Founding founding() {
        return founding;
    }

    public Founding newerFounding() {
        return newerFounding;
    }

    public boolean hasSameOrigin(Hello h) {
        return founding != null && founding.hasSameOrigin(h.founding);
    }

    public synchronized void followCore(Founding f) {
        newerFounding = null;
        founding = f;
        self = self.with(self.incarnation, false);
        self.coreId = f.coreId;
    }

    public synchronized void founding(Founding f, long coreId) {
        founding = f;
        self.coreId = coreId;
    }

    public synchronized void forgetCore() {
        founding = null;
        self.coreId = 0;
    }

    public Collection<KnownNode> knownNodes() {
        return knownNodes.values();
    }

    public boolean wasHeardRecently(String name, long now) {
        var k = knownNodes.get(name);
        return k != null && now - k.lastHeardAt < RECENTLY_HEARD_MICROS;
    }

    public Node nodeByName(String name) {
        if (name.equals(self.name)) return self;
        var k = knownNodes.get(name);
        return k == null ? null : k.node;
    }

    public Node storeById(long id) {
        if (self.storeId == id) return self;
        KnownNode best = null;
        for (var k : knownNodes.values()) if (k.node.storeId == id && (best == null || k.lastHeardAt > best.lastHeardAt)) best = k;
        return best == null ? null : best.node;
    }

    public List<Node> stores() {
        var all = new ArrayList<Node>();
        if (self.kind.equals(Node.STORE)) all.add(self);
        for (var k : knownNodes.values()) if (k.node.kind.equals(Node.STORE)) all.add(k.node);
        return all;
    }

    /** Whether the disk of this store is known to be lost: its node has come back with another. */
    public boolean isDiskLost(long storeId) {
        return isDiskLost.contains(storeId);
    }

    public void recordReplacement(Node old, Node by) {
        var newer = old.name.equals(by.name) && by.incarnation > old.incarnation;
        if (!newer || old.storeId == 0 || by.storeId == 0 || old.storeId == by.storeId) return;
        isDiskLost.add(old.storeId);
        isDiskLost.remove(by.storeId);
    }

    public void learnNode(Node n, long now) {
        if (n == null) return;
        if (n.name.equals(self.name)) {
            raiseIncarnation(n);
            return;
        }
        var k = knownNodes.computeIfAbsent(n.name, x -> new KnownNode());
        if (k.node == null || n.incarnation > k.node.incarnation) put(k, n);
        if (k.learnedAt == 0) k.learnedAt = now;
    }

    /** Tells the others at the next tick. */
    public void greetAtNextTick() {
        due = 0;
    }

    private void put(KnownNode k, Node n) {
        if (k.node != null && k.node.storeId != n.storeId) k.earlier = k.node;
        k.node = n;
    }

    /** An earlier life at this very address has ended, since this process holds the address now. */
    private void raiseIncarnation(Node n) {
        var earlier = n.incarnation > self.incarnation || n.incarnation == self.incarnation && n.isOtherSession(self);
        if (earlier && n.peerAddress.equals(self.peerAddress)) raiseIncarnation(n.incarnation);
    }

    public void tick(long now) {
        if (now < due) return;
        if (knownNodes.values().removeIf(k -> now - Math.max(k.lastHeardAt, k.learnedAt) > FORGET_AFTER_MICROS))
            knownNodes.values().forEach(k -> k.list = 0);
        if (timing.lowTraffic()) greetLowTraffic(now);
        else greet(now);
    }

    private void greet(long now) {
        due = now + timing.helloInterval();
        var to = new LinkedHashSet<>(seeds);
        for (var k : knownNodes.values()) if (self.coreId == 0 || k.node.kind.equals(Node.STORE)) to.add(k.node.peerAddress);
        to.remove(self.peerAddress);
        var h = hello(true, now);
        to.forEach(a -> port.send(a, h));
    }

    private void greetLowTraffic(long now) {
        var stores = knownNodes.values().stream()
                .filter(k -> k.node.kind.equals(Node.STORE))
                .toList();
        var lost = self.coreId == 0 || stores.stream().noneMatch(k -> now - k.lastHeardAt < RECENTLY_HEARD_MICROS);
        due = now + (lost ? Math.min(SEARCH, timing.helloInterval()) : timing.helloInterval());
        var to = new LinkedHashSet<String>();
        if (lost) to.addAll(seeds);
        else if (!seeds.isEmpty() && !self.isRouter()) to.add(seeds.get(Math.floorMod(turn, seeds.size())));
        if (self.isRouter() && !lost) to.add(stores.get(Math.floorMod(turn, stores.size())).node.peerAddress);
        else stores.forEach(k -> to.add(k.node.peerAddress));
        turn++;
        to.remove(self.peerAddress);
        to.forEach(a -> port.send(a, lowTraffic(true, at(a))));
    }

    private KnownNode at(String address) {
        return knownNodes.values().stream()
                .filter(k -> k.node.peerAddress.equals(address))
                .findFirst()
                .orElse(null);
    }

    private Hello lowTraffic(boolean asks, KnownNode to) {
        var h = new Hello();
        h.from = self;
        h.wantsReply = asks;
        h.foundersDigest = setEmptyStoresDigest;
        h.lowTraffic = true;
        if (to == null || to.node.coreId != self.coreId) h.founding = founding;
        if (to != null) h.knownListDigest = to.list;
        return h;
    }

    private Hello answer(Hello h, long now) {
        var k = knownNodes.get(h.from.name);
        if (!h.lowTraffic) {
            var full = hello(false, now);
            if (k != null && k.node.incarnation > h.from.incarnation) full.knownNodes.add(k.node);
            return full;
        }
        var a = lowTraffic(false, k);
        if (h.from.coreId != self.coreId || k != null && k.node.incarnation > h.from.incarnation) a.founding = founding;
        var stores = knownNodes.values().stream()
                .filter(x -> now - x.lastHeardAt < RECENTLY_HEARD_MICROS && x.node.kind.equals(Node.STORE))
                .map(x -> x.node)
                .sorted(Comparator.comparing(n -> n.name))
                .toList();
        a.storeListDigest = digest(stores);
        if (a.storeListDigest != h.knownListDigest) a.knownNodes.addAll(stores);
        if (k != null && k.node.incarnation > h.from.incarnation) a.knownNodes.add(k.node);
        return a;
    }

    private synchronized void join(long coreId) {
        self.coreId = coreId;
    }

    private static long digest(List<Node> stores) {
        var d = 1L;
        for (var n : stores)
            d = Hash.of(Hash.of(d, Hash.of(n.name + " " + n.peerAddress)), Hash.of(n.incarnation, n.storeId));
        return d | 1;
    }

    private Hello hello(boolean asks, long now) {
        var h = new Hello();
        h.from = self;
        h.wantsReply = asks;
        h.foundersDigest = setEmptyStoresDigest;
        h.founding = founding;
        for (var k : knownNodes.values()) if (now - k.lastHeardAt < RECENTLY_HEARD_MICROS) h.knownNodes.add(k.node);
        return h;
    }

    public void receive(Hello h, long now) {
        if (h.from == null || h.from.name.equals(self.name)) return;
        if (h.from.coreId != 0 && self.coreId != 0 && h.from.coreId != self.coreId) {
            if (hasSameOrigin(h) && h.founding.isNewerThan(founding)) newerFounding = h.founding;
            else if (hasSameOrigin(h) && h.wantsReply) port.send(h.from.peerAddress, hello(false, now));
            return;
        }
        learnNode(h.from, now);
        var k = knownNodes.get(h.from.name);
        if (k.node.incarnation == h.from.incarnation) {
            put(k, h.from);
            if (k.earlier != null) recordReplacement(k.earlier, h.from);
            k.earlier = null;
            k.lastHeardAt = now;
            k.emptyStoresDigest = h.foundersDigest;
            if (h.storeListDigest != 0) k.list = h.storeListDigest;
        }
        h.knownNodes.forEach(n -> learnNode(n, now));
        if (founding == null && h.founding != null) founding = h.founding;
        if (self.coreId == 0 && self.isRouter() && h.from.coreId != 0) join(h.from.coreId);
        if (h.wantsReply) port.send(h.from.peerAddress, answer(h, now));
    }
}
