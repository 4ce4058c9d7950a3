package craneway.control.store;

import craneway.control.node.CoreClient;
import craneway.control.node.NodeDirectory;
import craneway.control.node.Membership;
import craneway.control.node.Port;
import craneway.model.event.Event;
import craneway.model.problem.ProblemKind;
import craneway.model.problem.Problem;
import craneway.model.unit.Hash;
import craneway.model.unit.Parts;
import craneway.state.disk.DiskException;
import craneway.state.disk.DiskLostException;
import craneway.state.disk.Folder;
import craneway.state.disk.ChecksumEnvelope;
import craneway.state.message.BadMessageException;
import craneway.state.message.Codec;
import craneway.state.message.Messages.CommandRequest;
import craneway.state.message.Messages.CommandResult;
import craneway.state.message.Messages.Founding;
import craneway.state.message.Messages.Hello;
import craneway.state.message.Messages.Join;
import craneway.state.message.Messages.TopicUpdate;
import craneway.state.message.Messages.Renewal;
import craneway.state.message.Messages.RenewalReplies;
import craneway.state.message.Messages.RenewalReply;
import craneway.state.message.Messages.Renewals;
import craneway.state.message.Messages.Subscription;
import craneway.state.message.Node;
import craneway.state.part.Members;
import craneway.state.part.PartMessage;
import craneway.state.record.Records;
import io.vavr.control.Either;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

public final class Store {
    private static final String IDENTITY = "identity",
            CORE = "core",
            KNOWN = "known",
            LIFE = "life",
            FOUNDERS = "founders",
            LOST = "lost.";
    private static final long JOIN = 500_000, SAY = 5_000_000, SAVE = 5_000_000, ALIVE = 3_000_000;
    /** How long a store that stops tries to hand over what it leads. */
    private static final long HAND_OVER = 2_000_000;

    private final Port port;
    private final Folder folder;
    private final StoreOptions rules;
    private final Executor saver;
    private final CoreSettings settings;
    private final List<String> seeds;
    private Set<String> founders;
    private final Random random;
    private final NodeDirectory directory;
    private final CoreClient coreClient;
    private final Membership membership;
    private final Queue<RenewReplyBatch> replyBatches = new ConcurrentLinkedQueue<>();
    private volatile PartReplica[] replicas = {};
    private long joinDue;
    private long sayDue;
    private long saveDue;
    private volatile String savedKnown = "";
    private volatile long leavingSince;
    private volatile long savedLife;

    public Store(Port port, Folder folder, Node self, List<String> seeds, int expected, Random random) {
        this(port, folder, self, seeds, StoreOptions.of(expected), random);
    }

    public Store(Port port, Folder folder, Node self, List<String> seeds, StoreOptions rules, Random random) {
        this.port = port;
        this.folder = folder;
        this.rules = rules;
        saver = rules.executorByPart().apply(Parts.MANIFEST_PART);
        settings = rules.settings();
        this.seeds = seeds;
        this.random = random;
        self.storeId = identity();
        if (self.sessionId != 0) self.incarnation = self.incarnationAbove(lastLife());
        directory = new NodeDirectory(port, self, withKnown(seeds), rules.timing());
        coreClient = new CoreClient(port, directory, random.nextLong());
        membership = new Membership(port, directory, coreClient, rules.timing());
        reopen();
        founders = founders();
    }

    private Set<String> founders() {
        if (!settings.seedsOnly()) return Set.of();
        var b = folder.read(FOUNDERS);
        if (b == null && settings.firstStart())
            folder.replace(FOUNDERS, b = String.join("\n", seeds).getBytes());
        return b == null ? Set.of() : Set.of(new String(b).split("\n"));
    }

    private boolean founds(Node n) {
        return !settings.seedsOnly()
                || (founders.isEmpty() ? seeds.contains(n.peerAddress) : founders.contains(n.peerAddress));
    }

    public NodeDirectory directory() {
        return directory;
    }

    public CoreClient coreClient() {
        return coreClient;
    }

    public Membership membership() {
        return membership;
    }

    public PartReplica[] replicas() {
        return replicas;
    }

    private long identity() {
        var b = folder.read(IDENTITY);
        try {
            if (b != null) return ByteBuffer.wrap(ChecksumEnvelope.unwrap(IDENTITY, b)).getLong();
            if (!folder.fileNames().stream().allMatch(n -> n.startsWith(LOST))) setAside("the identity is missing");
        } catch (DiskLostException e) {
            setAside(e.getMessage());
        }
        var id = random.nextLong() >>> 1 | 1;
        folder.replace(IDENTITY, ChecksumEnvelope.wrap(ByteBuffer.allocate(8).putLong(id).array()));
        return id;
    }

    /** The incarnation that the last process on this disk told of; 0 where that is not known. */
    private long lastLife() {
        var b = folder.read(LIFE);
        try {
            return b == null ? 0 : ByteBuffer.wrap(ChecksumEnvelope.unwrap(LIFE, b)).getLong();
        } catch (DiskLostException e) {
            port.logEvent(Event.DISK_WRITE_FAILED, LIFE + ": " + e.getMessage());
            return 0;
        }
    }

    private void saveLife(long incarnation) {
        try {
            folder.replace(
                    LIFE, ChecksumEnvelope.wrap(ByteBuffer.allocate(8).putLong(incarnation).array()));
            savedLife = incarnation;
        } catch (DiskException e) {
            port.logEvent(Event.DISK_WRITE_FAILED, LIFE + ": " + e.getMessage());
        }
    }

    /**
     * Renames all files, the identity first: whatever a crash leaves, no start takes the rest for a store that still has
     * its votes and entries.
     */
    private void setAside(String cause) {
        port.logEvent(Event.DATA_DIRECTORY_DAMAGED, cause);
        if (folder.read(IDENTITY) != null) setAsideFile(IDENTITY);
        for (var n : folder.fileNames()) if (!n.startsWith(LOST)) setAsideFile(n);
    }

    /** An earlier file set aside under this name stays: it gets a number. */
    private void setAsideFile(String name) {
        var to = LOST + name;
        for (var i = 2; folder.read(to) != null; i++) to = LOST + i + "." + name;
        folder.rename(name, to);
    }

    private List<String> withKnown(List<String> seeds) {
        var all = new ArrayList<>(seeds);
        var b = folder.read(KNOWN);
        if (b != null) for (var a : new String(b).split("\n")) if (!a.isBlank() && !all.contains(a)) all.add(a);
        return all;
    }

    private void reopen() {
        var b = folder.read(CORE);
        if (b == null) return;
        try {
            start(Codec.decode(Founding.class, ChecksumEnvelope.unwrap(CORE, b)));
        } catch (DiskLostException | BadMessageException e) {
            setAside(e.getMessage());
            directory.self().storeId = identity();
            directory.forgetCore();
            replicas = new PartReplica[0];
        }
    }

    private void start(Founding f) {
        var self = directory.self().storeId;
        directory.founding(f, f.coreId);
        var first = f.hasStore(self) ? Members.of(f.storeIds, f.zones) : new Members();
        first.coreGeneration = f.hasStore(self) ? f.generation : 0;
        var all = new PartReplica[Parts.COUNT];
        for (var p = 0; p < all.length; p++)
            all[p] = new PartReplica(
                    p, self, folder, first, port, directory, membership, rules, new Random(random.nextLong()));
        replicas = all;
    }

    public void tick() {
        tickNode();
        for (var p = 0; p < Parts.COUNT; p++) tickPart(p);
    }

    public void tickPart(int part) {
        replica(part, PartReplica::tick);
    }

    public void tickNode() {
        var now = port.now();
        if (directory.newerFounding() != null) surrender(directory.newerFounding());
        directory.tick(now);
        if (directory.self().coreId == 0) tryFound(now);
        membership.tick(now);
        coreClient.tick(now);
        replyBatches.removeIf(b -> b.over(now));
        if (now >= joinDue) join(now);
        if (now >= saveDue) saveKnown(now);
    }

    private void closeAll() {
        for (var k : replicas) k.close();
        replicas = new PartReplica[0];
    }

    private void surrender(Founding f) {
        port.logEvent(Event.GENERATION_SUPERSEDED, "core " + Long.toHexString(f.coreId) + " generation " + f.generation);
        closeAll();
        setAside("generation " + f.generation + " of the core lives");
        founders = Set.of();
        directory.followCore(f);
        directory.self().storeId = identity();
        directory.self().coreId = 0;
        membership.followCore();
    }

    public Either<Problem, RebuildProposal> rebuild() {
        var now = port.now();
        var f = directory.founding();
        if (replicas.length == 0 || f == null)
            return Either.left(Problem.of(ProblemKind.BAD_INTENT, "this store holds no core to rebuild from"));
        for (var k : replicas) {
            var p = k.group().part();
            var heard = 0;
            for (var v : k.group().members().voters) {
                var n = directory.storeById(v);
                if (v == directory.self().storeId || n != null && directory.wasHeardRecently(n.name, now)) heard++;
            }
            if (k.group().hasLeaderContact(now, ALIVE)
                    || heard >= k.group().members().majority() && k.group().members().voters.length > 1)
                return Either.left(
                        Problem.of(ProblemKind.BAD_INTENT, "a majority of part " + p + " lives; nothing is to be rebuilt"));
        }
        return Either.right(RebuildProposal.of(f, replicas));
    }

    public Either<Problem, RebuildProposal> rebuild(String token) {
        var r = rebuild();
        if (r.isLeft()) return r;
        if (!r.get().confirmationToken().equals(token))
            return Either.left(Problem.of(ProblemKind.STALE_PLAN, "this store's state moved since; look again"));
        var self = directory.self();
        var f = new Founding();
        f.originalCoreId = directory.founding().originalCoreId();
        f.generation = directory.founding().generation + 1;
        f.coreId = Hash.of(Hash.of(f.originalCoreId, f.generation), self.storeId) | 1;
        f.storeIds = new long[] {self.storeId};
        f.zones = new String[] {self.zone};
        closeAll();
        folder.replace(CORE, ChecksumEnvelope.wrap(Codec.encode(f)));
        port.logEvent(Event.CORE_REBUILT, "core " + Long.toHexString(f.coreId) + " generation " + f.generation);
        directory.followCore(f);
        membership.followCore();
        start(f);
        return r;
    }

    private void join(long now) {
        joinDue = now + (rules.timing().lowTraffic() ? JOIN / 2 : JOIN);
        for (var k : replicas) {
            var leaving = leavingSince != 0;
            if (!leaving && !k.shouldJoin(now)) continue;
            var to = coreClient.leader(k.group().part());
            if (to == null || to.name.equals(directory.self().name)) continue;
            var j = new Join();
            j.part = k.group().part();
            j.from = directory.self();
            j.leaving = leaving;
            port.send(to.peerAddress, j);
        }
    }

    private void saveKnown(long now) {
        saveDue = now + SAVE;
        var text = String.join(
                "\n",
                directory.stores().stream().map(n -> n.peerAddress).sorted().toList());
        var life = directory.self().incarnation;
        if (life != savedLife) saver.execute(() -> saveLife(life));
        if (!text.equals(savedKnown)) saver.execute(() -> saveKnown(text));
    }

    private void saveKnown(String text) {
        try {
            folder.replace(KNOWN, text.getBytes());
            savedKnown = text;
        } catch (DiskException e) {
            port.logEvent(Event.DISK_WRITE_FAILED, KNOWN + ": " + e.getMessage());
        }
    }

    private void tryFound(long now) {
        var heard = directory.knownNodes().stream()
                .filter(k -> now - k.lastHeardAt < NodeDirectory.RECENTLY_HEARD_MICROS)
                .toList();
        var f = directory.founding();
        if (f != null) {
            adopt(f);
            return;
        }
        if (heard.stream().anyMatch(k -> k.node.coreId != 0)) return;
        var empty = new ArrayList<Node>();
        if (!founds(directory.self())) return;
        empty.add(directory.self());
        heard.stream()
                .map(k -> k.node)
                .filter(n -> n.kind.equals(Node.STORE) && founds(n))
                .forEach(empty::add);
        empty.sort(Comparator.comparingLong(n -> n.storeId));
        var digest = digest(empty);
        directory.setEmptyStoresDigest(digest);
        var agreed = heard.stream()
                .filter(k -> k.node.kind.equals(Node.STORE) && founds(k.node))
                .allMatch(k -> k.emptyStoresDigest == digest);
        var may = !settings.seedsOnly() || !founders.isEmpty();
        if (may && empty.size() == settings.founderCount() && agreed) adopt(founding(empty, digest));
        else if (now >= sayDue) sayWaiting(empty, now);
    }

    private void sayWaiting(List<Node> empty, long now) {
        sayDue = now + SAY;
        port.logEvent(
                Event.WAITING_TO_BOOTSTRAP,
                "sees " + empty.size() + " empty stores "
                        + empty.stream().map(n -> n.name).toList() + " and needs exactly " + settings.founderCount()
                        + " that see one another");
    }

    private static long digest(List<Node> stores) {
        var h = 1L;
        for (var s : stores) h = Hash.of(h, s.storeId);
        return h | 1;
    }

    private static Founding founding(List<Node> stores, long digest) {
        var f = new Founding();
        f.coreId = digest;
        f.storeIds = stores.stream().mapToLong(n -> n.storeId).toArray();
        f.zones = stores.stream().map(n -> n.zone).toArray(String[]::new);
        return f;
    }

    private void adopt(Founding f) {
        folder.replace(CORE, ChecksumEnvelope.wrap(Codec.encode(f)));
        port.logEvent(
                f.hasStore(directory.self().storeId) ? Event.CORE_BOOTSTRAPPED : Event.JOINED_CORE,
                "core " + Long.toHexString(f.coreId));
        start(f);
    }

    public void receive(Object m) {
        var now = port.now();
        if (m instanceof Hello h) directory.receive(h, now);
        else if (m instanceof RenewalReply v) membership.receive(v, now);
        else if (m instanceof TopicUpdate n) membership.receive(n, now);
        else if (m instanceof CommandResult v) coreClient.receive(v);
        else if (m instanceof PartMessage p) replica(p.part, k -> k.receive(p));
        else if (m instanceof CommandRequest a) onCommandRequest(a);
        else if (m instanceof RenewalReplies v) membership.receive(v, now);
        else if (m instanceof Renewals r) renewals(r, now);
        else if (m instanceof Renewal r) replica(r.part, k -> k.receive(r, v -> port.send(r.from.peerAddress, v)));
        else if (m instanceof Subscription s) replica(Parts.partOf(s.topic), k -> k.receive(s));
        else if (m instanceof Join j) replica(j.part, k -> k.receive(j));
        else port.logEvent(Event.BAD_MESSAGE, "a store takes no " + m.getClass().getSimpleName());
    }

    private void renewals(Renewals all, long now) {
        if (all.from == null) return;
        var b = new RenewReplyBatch(port, directory.self(), all);
        replyBatches.add(b);
        for (var r : all.parts) {
            r.from = all.from;
            r.sentAt = all.sentAt;
            r.leaving = all.leaving;
            replica(r.part, k -> k.receive(r, b::add));
        }
    }

    private void onCommandRequest(CommandRequest a) {
        if (replicas.length > 0) {
            replica(a.part, k -> k.receive(a));
            return;
        }
        var v = Records.failure(ProblemKind.NOT_OWNER, "");
        v.id = a.id;
        v.sessionId = a.sessionId;
        port.send(a.from.peerAddress, v);
    }

    private void replica(int part, Consumer<PartReplica> then) {
        var all = replicas;
        if (part >= 0 && part < all.length) then.accept(all[part]);
    }

    /**
     * Begins or goes on with a planned stop: hands over what this store leads and tells the leaders that it is about to stop.
     * Whether it is still needed, because it leads, or because its successor does not count yet, or because another voter lacks
     * what this one holds. To be called again until it is not, or until the time to stop is over.
     */
    public boolean continuePlannedLeave() {
        var now = port.now();
        if (leavingSince == 0) {
            leavingSince = now;
            joinDue = now;
        }
        var needed = now - leavingSince < HAND_OVER && transferLeadership();
        for (var k : replicas) needed |= k.isNeeded(leavingSince, now);
        return needed;
    }

    public boolean transferLeadership() {
        var leads = false;
        for (var k : replicas) {
            if (!k.isLeader()) continue;
            leads = true;
            k.transferLeadership();
        }
        return leads;
    }
}
