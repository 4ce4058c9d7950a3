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

public final class Directory {
    public static final long STALE = 3_000_000, FORGET = 60_000_000;
    private static final long SEARCH = 80_000;

    public static final class Known {
        public volatile Node node;
        public volatile long heard = Long.MIN_VALUE / 2;
        public volatile long learned;
        public volatile long seen;
        private volatile long list;
        /** The life before this one, until this one has been heard itself: hearsay may be old and condemns no disk. */
        private volatile Node earlier;
    }

    private final Port port;
    private final List<String> seeds;
    private final TimingProfile timing;
    private final Set<Long> gone = ConcurrentHashMap.newKeySet();
    private final Map<String, Known> known = new ConcurrentHashMap<>();
    private volatile Node self;
    private volatile Founding founding;
    private volatile Founding newer;
    private volatile long seen;
    private volatile long due;
    private int turn;

    public Directory(Port port, Node self, List<String> seeds) {
        this(port, self, seeds, TimingProfile.STANDARD);
    }

    public Directory(Port port, Node self, List<String> seeds, TimingProfile timing) {
        this.timing = timing;
        this.port = port;
        this.self = self;
        this.seeds = seeds;
    }

    public Node self() {
        return self;
    }

    /** Raises this process's incarnation above the known one and tells the others at the next tick. */
    public synchronized void raise(long known) {
        if (self.incarnation > known) return;
        self = self.with(self.above(known), self.serving);
        greetSoon();
    }

    /** Says whether this process serves. */
    public synchronized void updateServing(boolean is) {
        self = self.with(self.incarnation, is);
    }

    /** Says how long this process acts on after its lease. */
    public synchronized void grace(long micros) {
        self = self.with(micros);
    }

    public void seen(long digest) {
        seen = digest;
    }

    public Founding founding() {
        return founding;
    }

    public Founding newer() {
        return newer;
    }

    public boolean sameOrigin(Hello h) {
        return founding != null && founding.sameOrigin(h.founding);
    }

    public synchronized void follow(Founding f) {
        newer = null;
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

    public Collection<Known> known() {
        return known.values();
    }

    public boolean heard(String name, long now) {
        var k = known.get(name);
        return k != null && now - k.heard < STALE;
    }

    public Node named(String name) {
        if (name.equals(self.name)) return self;
        var k = known.get(name);
        return k == null ? null : k.node;
    }

    public Node store(long id) {
        if (self.storeId == id) return self;
        Known best = null;
        for (var k : known.values()) if (k.node.storeId == id && (best == null || k.heard > best.heard)) best = k;
        return best == null ? null : best.node;
    }

    public List<Node> stores() {
        var all = new ArrayList<Node>();
        if (self.kind.equals(Node.STORE)) all.add(self);
        for (var k : known.values()) if (k.node.kind.equals(Node.STORE)) all.add(k.node);
        return all;
    }

    /** Whether the disk of this store is known to be lost: its node has come back with another. */
    public boolean gone(long storeId) {
        return gone.contains(storeId);
    }

    public void replaced(Node old, Node by) {
        var newer = old.name.equals(by.name) && by.incarnation > old.incarnation;
        if (!newer || old.storeId == 0 || by.storeId == 0 || old.storeId == by.storeId) return;
        gone.add(old.storeId);
        gone.remove(by.storeId);
    }

    public void learn(Node n, long now) {
        if (n == null) return;
        if (n.name.equals(self.name)) {
            raiseIncarnation(n);
            return;
        }
        var k = known.computeIfAbsent(n.name, x -> new Known());
        if (k.node == null || n.incarnation > k.node.incarnation) put(k, n);
        if (k.learned == 0) k.learned = now;
    }

    /** Tells the others at the next tick. */
    public void greetSoon() {
        due = 0;
    }

    private void put(Known k, Node n) {
        if (k.node != null && k.node.storeId != n.storeId) k.earlier = k.node;
        k.node = n;
    }

    /** An earlier life at this very address has ended, since this process holds the address now. */
    private void raiseIncarnation(Node n) {
        var earlier = n.incarnation > self.incarnation || n.incarnation == self.incarnation && n.otherLife(self);
        if (earlier && n.peerAddress.equals(self.peerAddress)) raise(n.incarnation);
    }

    public void tick(long now) {
        if (now < due) return;
        if (known.values().removeIf(k -> now - Math.max(k.heard, k.learned) > FORGET))
            known.values().forEach(k -> k.list = 0);
        if (timing.lowTraffic()) greetLowTraffic(now);
        else greet(now);
    }

    private void greet(long now) {
        due = now + timing.helloInterval();
        var to = new LinkedHashSet<>(seeds);
        for (var k : known.values()) if (self.coreId == 0 || k.node.kind.equals(Node.STORE)) to.add(k.node.peerAddress);
        to.remove(self.peerAddress);
        var h = hello(true, now);
        to.forEach(a -> port.send(a, h));
    }

    private void greetLowTraffic(long now) {
        var stores = known.values().stream()
                .filter(k -> k.node.kind.equals(Node.STORE))
                .toList();
        var lost = self.coreId == 0 || stores.stream().noneMatch(k -> now - k.heard < STALE);
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

    private Known at(String address) {
        return known.values().stream()
                .filter(k -> k.node.peerAddress.equals(address))
                .findFirst()
                .orElse(null);
    }

    private Hello lowTraffic(boolean asks, Known to) {
        var h = new Hello();
        h.from = self;
        h.wantsReply = asks;
        h.seen = seen;
        h.lowTraffic = true;
        if (to == null || to.node.coreId != self.coreId) h.founding = founding;
        if (to != null) h.have = to.list;
        return h;
    }

    private Hello answer(Hello h, long now) {
        var k = known.get(h.from.name);
        if (!h.lowTraffic) {
            var full = hello(false, now);
            if (k != null && k.node.incarnation > h.from.incarnation) full.known.add(k.node);
            return full;
        }
        var a = lowTraffic(false, k);
        if (h.from.coreId != self.coreId || k != null && k.node.incarnation > h.from.incarnation) a.founding = founding;
        var stores = known.values().stream()
                .filter(x -> now - x.heard < STALE && x.node.kind.equals(Node.STORE))
                .map(x -> x.node)
                .sorted(Comparator.comparing(n -> n.name))
                .toList();
        a.list = digest(stores);
        if (a.list != h.have) a.known.addAll(stores);
        if (k != null && k.node.incarnation > h.from.incarnation) a.known.add(k.node);
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
        h.seen = seen;
        h.founding = founding;
        for (var k : known.values()) if (now - k.heard < STALE) h.known.add(k.node);
        return h;
    }

    public void receive(Hello h, long now) {
        if (h.from == null || h.from.name.equals(self.name)) return;
        if (h.from.coreId != 0 && self.coreId != 0 && h.from.coreId != self.coreId) {
            if (sameOrigin(h) && h.founding.newerThan(founding)) newer = h.founding;
            else if (sameOrigin(h) && h.wantsReply) port.send(h.from.peerAddress, hello(false, now));
            return;
        }
        learn(h.from, now);
        var k = known.get(h.from.name);
        if (k.node.incarnation == h.from.incarnation) {
            put(k, h.from);
            if (k.earlier != null) replaced(k.earlier, h.from);
            k.earlier = null;
            k.heard = now;
            k.seen = h.seen;
            if (h.list != 0) k.list = h.list;
        }
        h.known.forEach(n -> learn(n, now));
        if (founding == null && h.founding != null) founding = h.founding;
        if (self.coreId == 0 && self.isRouter() && h.from.coreId != 0) join(h.from.coreId);
        if (h.wantsReply) port.send(h.from.peerAddress, answer(h, now));
    }
}
