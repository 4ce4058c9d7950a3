package craneway.control.node;

import craneway.state.message.Messages.Founding;
import craneway.state.message.Messages.Hello;
import craneway.state.message.Node;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

public final class Directory {
    public static final long BEAT = 500_000, STALE = 3_000_000, FORGET = 60_000_000;

    public static final class Known {
        public volatile Node node;
        public volatile long heard = Long.MIN_VALUE / 2;
        public volatile long learned;
        public volatile long seen;
    }

    private final Port port;
    private final List<String> seeds;
    private final Map<String, Known> known = new ConcurrentHashMap<>();
    private volatile Node self;
    private volatile Founding founding;
    private volatile Founding newer;
    private volatile long seen;
    private volatile long due;

    public Directory(Port port, Node self, List<String> seeds) {
        this.port = port;
        this.self = self;
        this.seeds = seeds;
    }

    public Node self() { return self; }

    public void self(Node n) { self = n; }

    public void seen(long digest) { seen = digest; }

    public Founding founding() { return founding; }

    public Founding newer() { return newer; }

    public boolean kin(Hello h) { return founding != null && founding.kin(h.founding); }

    public void follow(Founding f) {
        newer = null;
        founding = f;
        self = self.with(self.incarnation, false);
        self.coreId = f.coreId;
    }

    public void founding(Founding f, long coreId) {
        founding = f;
        self.coreId = coreId;
    }

    public void forgetCore() {
        founding = null;
        self.coreId = 0;
    }

    public Collection<Known> known() { return known.values(); }

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

    public void learn(Node n, long now) {
        if (n == null || n.name.equals(self.name)) return;
        var k = known.computeIfAbsent(n.name, x -> new Known());
        if (k.node == null || n.incarnation > k.node.incarnation) k.node = n;
        if (k.learned == 0) k.learned = now;
    }

    /** Tells the others at the next tick. */
    public void hurry() { due = 0; }

    public void tick(long now) {
        if (now < due) return;
        due = now + BEAT;
        known.values().removeIf(k -> now - Math.max(k.heard, k.learned) > FORGET);
        var to = new LinkedHashSet<>(seeds);
        for (var k : known.values()) if (self.coreId == 0 || k.node.kind.equals(Node.STORE)) to.add(k.node.partner);
        to.remove(self.partner);
        var h = hello(true, now);
        to.forEach(a -> port.send(a, h));
    }

    private Hello hello(boolean asks, long now) {
        var h = new Hello();
        h.from = self;
        h.asks = asks;
        h.seen = seen;
        h.founding = founding;
        for (var k : known.values()) if (now - k.heard < STALE) h.known.add(k.node);
        return h;
    }

    public void receive(Hello h, long now) {
        if (h.from == null || h.from.name.equals(self.name)) return;
        if (h.from.coreId != 0 && self.coreId != 0 && h.from.coreId != self.coreId) {
            if (kin(h) && h.founding.newerThan(founding)) newer = h.founding;
            else if (kin(h) && h.asks) port.send(h.from.partner, hello(false, now));
            return;
        }
        learn(h.from, now);
        var k = known.get(h.from.name);
        if (k.node.incarnation == h.from.incarnation) {
            k.node = h.from;
            k.heard = now;
            k.seen = h.seen;
        }
        h.known.forEach(n -> learn(n, now));
        if (founding == null && h.founding != null) founding = h.founding;
        if (self.coreId == 0 && self.isRouter() && h.from.coreId != 0) self.coreId = h.from.coreId;
        if (h.asks) port.send(h.from.partner, hello(false, now));
    }
}
