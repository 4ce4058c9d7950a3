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
    private static final long SEARCH_INTERVAL_MICROS = 80_000;

    public static final class Known {
        public volatile Node node;
        public volatile long heard = Long.MIN_VALUE / 2;
        public volatile long learned;
        public volatile long seen;
        private volatile long listDigest;
        /** The life before this one, until this one has been heard itself: hearsay may be old and condemns no disk. */
        private volatile Node earlierNode;
    }

    private final Port port;
    private final List<String> seeds;
    private final TimingProfile timing;
    private final Set<Long> lostDiskStores = ConcurrentHashMap.newKeySet();
    private final Map<String, Known> knownByName = new ConcurrentHashMap<>();
    private volatile Node self;
    private volatile Founding founding;
    private volatile Founding newer;
    private volatile long foundersDigest;
    private volatile long nextGreetingAt;
    private int greetingRound;

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
    public synchronized void raise(long knownIncarnation) {
        if (self.incarnation > knownIncarnation) return;
        self = self.with(self.above(knownIncarnation), self.serving);
        greetSoon();
    }

    /** Says whether this process serves. */
    public synchronized void updateServing(boolean serving) {
        self = self.with(self.incarnation, serving);
    }

    /** Says how long this process acts on after its lease. */
    public synchronized void grace(long graceMicros) {
        self = self.with(graceMicros);
    }

    public void seen(long digest) {
        foundersDigest = digest;
    }

    public Founding founding() {
        return founding;
    }

    public Founding newer() {
        return newer;
    }

    public boolean sameOrigin(Hello hello) {
        return founding != null && founding.sameOrigin(hello.founding);
    }

    public synchronized void follow(Founding successor) {
        newer = null;
        founding = successor;
        self = self.with(self.incarnation, false);
        self.coreId = successor.coreId;
    }

    public synchronized void founding(Founding newFounding, long coreId) {
        founding = newFounding;
        self.coreId = coreId;
    }

    public synchronized void forgetCore() {
        founding = null;
        self.coreId = 0;
    }

    public Collection<Known> known() {
        return knownByName.values();
    }

    public boolean heard(String name, long now) {
        var entry = knownByName.get(name);
        return entry != null && now - entry.heard < STALE;
    }

    public Node named(String name) {
        if (name.equals(self.name)) return self;
        var entry = knownByName.get(name);
        return entry == null ? null : entry.node;
    }

    public Node store(long storeId) {
        if (self.storeId == storeId) return self;
        Known best = null;
        for (var entry : knownByName.values())
            if (entry.node.storeId == storeId && (best == null || entry.heard > best.heard)) best = entry;
        return best == null ? null : best.node;
    }

    public List<Node> stores() {
        var stores = new ArrayList<Node>();
        if (self.kind.equals(Node.STORE)) stores.add(self);
        for (var entry : knownByName.values()) if (entry.node.kind.equals(Node.STORE)) stores.add(entry.node);
        return stores;
    }

    /** Whether the disk of this store is known to be lost: its node has come back with another. */
    public boolean gone(long storeId) {
        return lostDiskStores.contains(storeId);
    }

    public void replaced(Node oldNode, Node newNode) {
        var isSuccessor = oldNode.name.equals(newNode.name) && newNode.incarnation > oldNode.incarnation;
        if (!isSuccessor || oldNode.storeId == 0 || newNode.storeId == 0 || oldNode.storeId == newNode.storeId) return;
        lostDiskStores.add(oldNode.storeId);
        lostDiskStores.remove(newNode.storeId);
    }

    public void learn(Node node, long now) {
        if (node == null) return;
        if (node.name.equals(self.name)) {
            outrankEarlierLife(node);
            return;
        }
        var entry = knownByName.computeIfAbsent(node.name, name -> new Known());
        if (entry.node == null || node.incarnation > entry.node.incarnation) replaceNode(entry, node);
        if (entry.learned == 0) entry.learned = now;
    }

    /** Tells the others at the next tick. */
    public void greetSoon() {
        nextGreetingAt = 0;
    }

    private void replaceNode(Known entry, Node node) {
        if (entry.node != null && entry.node.storeId != node.storeId) entry.earlierNode = entry.node;
        entry.node = node;
    }

    /** An earlier life at this very address has ended, since this process holds the address now. */
    private void outrankEarlierLife(Node node) {
        var outranksThis =
                node.incarnation > self.incarnation || node.incarnation == self.incarnation && node.otherLife(self);
        if (outranksThis && node.peerAddress.equals(self.peerAddress)) raise(node.incarnation);
    }

    public void tick(long now) {
        if (now < nextGreetingAt) return;
        if (knownByName.values().removeIf(entry -> now - Math.max(entry.heard, entry.learned) > FORGET))
            knownByName.values().forEach(entry -> entry.listDigest = 0);
        if (timing.lowTraffic()) greetLowTraffic(now);
        else greet(now);
    }

    private void greet(long now) {
        nextGreetingAt = now + timing.hello();
        var addresses = new LinkedHashSet<>(seeds);
        for (var entry : knownByName.values())
            if (self.coreId == 0 || entry.node.kind.equals(Node.STORE)) addresses.add(entry.node.peerAddress);
        addresses.remove(self.peerAddress);
        var hello = fullHello(true, now);
        addresses.forEach(address -> port.send(address, hello));
    }

    private void greetLowTraffic(long now) {
        var stores = knownByName.values().stream()
                .filter(entry -> entry.node.kind.equals(Node.STORE))
                .toList();
        var isDisconnected = self.coreId == 0 || stores.stream().noneMatch(entry -> now - entry.heard < STALE);
        nextGreetingAt = now + (isDisconnected ? Math.min(SEARCH_INTERVAL_MICROS, timing.hello()) : timing.hello());
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

    private Known knownByAddress(String address) {
        return knownByName.values().stream()
                .filter(entry -> entry.node.peerAddress.equals(address))
                .findFirst()
                .orElse(null);
    }

    private Hello lowTrafficHello(boolean wantsReply, Known recipient) {
        var hello = new Hello();
        hello.from = self;
        hello.wantsReply = wantsReply;
        hello.seen = foundersDigest;
        hello.lowTraffic = true;
        if (recipient == null || recipient.node.coreId != self.coreId) hello.founding = founding;
        if (recipient != null) hello.have = recipient.listDigest;
        return hello;
    }

    private Hello replyTo(Hello hello, long now) {
        var entry = knownByName.get(hello.from.name);
        if (!hello.lowTraffic) {
            var reply = fullHello(false, now);
            if (entry != null && entry.node.incarnation > hello.from.incarnation) reply.known.add(entry.node);
            return reply;
        }
        var reply = lowTrafficHello(false, entry);
        if (hello.from.coreId != self.coreId || entry != null && entry.node.incarnation > hello.from.incarnation)
            reply.founding = founding;
        var stores = knownByName.values().stream()
                .filter(other -> now - other.heard < STALE && other.node.kind.equals(Node.STORE))
                .map(other -> other.node)
                .sorted(Comparator.comparing(node -> node.name))
                .toList();
        reply.list = digestOf(stores);
        if (reply.list != hello.have) reply.known.addAll(stores);
        if (entry != null && entry.node.incarnation > hello.from.incarnation) reply.known.add(entry.node);
        return reply;
    }

    private synchronized void joinCore(long coreId) {
        self.coreId = coreId;
    }

    private static long digestOf(List<Node> stores) {
        var digest = 1L;
        for (var node : stores)
            digest = Hash.of(
                    Hash.of(digest, Hash.of(node.name + " " + node.peerAddress)),
                    Hash.of(node.incarnation, node.storeId));
        return digest | 1;
    }

    private Hello fullHello(boolean wantsReply, long now) {
        var hello = new Hello();
        hello.from = self;
        hello.wantsReply = wantsReply;
        hello.seen = foundersDigest;
        hello.founding = founding;
        for (var entry : knownByName.values()) if (now - entry.heard < STALE) hello.known.add(entry.node);
        return hello;
    }

    public void receive(Hello hello, long now) {
        if (hello.from == null || hello.from.name.equals(self.name)) return;
        if (hello.from.coreId != 0 && self.coreId != 0 && hello.from.coreId != self.coreId) {
            if (sameOrigin(hello) && hello.founding.newerThan(founding)) newer = hello.founding;
            else if (sameOrigin(hello) && hello.wantsReply) port.send(hello.from.peerAddress, fullHello(false, now));
            return;
        }
        learn(hello.from, now);
        var entry = knownByName.get(hello.from.name);
        if (entry.node.incarnation == hello.from.incarnation) {
            replaceNode(entry, hello.from);
            if (entry.earlierNode != null) replaced(entry.earlierNode, hello.from);
            entry.earlierNode = null;
            entry.heard = now;
            entry.seen = hello.seen;
            if (hello.list != 0) entry.listDigest = hello.list;
        }
        hello.known.forEach(node -> learn(node, now));
        if (founding == null && hello.founding != null) founding = hello.founding;
        if (self.coreId == 0 && self.isRouter() && hello.from.coreId != 0) joinCore(hello.from.coreId);
        if (hello.wantsReply) port.send(hello.from.peerAddress, replyTo(hello, now));
    }
}
