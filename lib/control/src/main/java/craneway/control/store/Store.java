package craneway.control.store;

import craneway.control.node.CoreClient;
import craneway.control.node.Directory;
import craneway.control.node.Membership;
import craneway.control.node.Port;
import craneway.model.event.Event;
import craneway.model.problem.Kind;
import craneway.model.problem.Problem;
import craneway.model.unit.Hash;
import craneway.model.unit.Parts;
import craneway.state.disk.DiskException;
import craneway.state.disk.DiskLostException;
import craneway.state.disk.Folder;
import craneway.state.disk.Seal;
import craneway.state.message.BadMessageException;
import craneway.state.message.Codec;
import craneway.state.message.Messages.CommandRequest;
import craneway.state.message.Messages.CommandResult;
import craneway.state.message.Messages.Founding;
import craneway.state.message.Messages.Hello;
import craneway.state.message.Messages.Join;
import craneway.state.message.Messages.News;
import craneway.state.message.Messages.Renew;
import craneway.state.message.Messages.RenewReplies;
import craneway.state.message.Messages.RenewReply;
import craneway.state.message.Messages.Renewals;
import craneway.state.message.Messages.Subscribe;
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
    private static final String IDENTITY_FILE = "identity",
            CORE_FILE = "core",
            KNOWN_STORES_FILE = "known",
            INCARNATION_FILE = "life",
            FOUNDERS_FILE = "founders",
            LOST_FILE_PREFIX = "lost.";
    private static final long JOIN_INTERVAL_MICROS = 500_000,
            WAITING_LOG_INTERVAL_MICROS = 5_000_000,
            SAVE_INTERVAL_MICROS = 5_000_000,
            LEADER_ALIVE_WINDOW_MICROS = 3_000_000;
    /** How long a store that stops tries to hand over what it leads. */
    private static final long HANDOVER_TIMEOUT_MICROS = 2_000_000;

    private final Port port;
    private final Folder folder;
    private final Rules rules;
    private final Executor saveExecutor;
    private final Settings settings;
    private final List<String> seeds;
    private Set<String> founderAddresses;
    private final Random random;
    private final Directory directory;
    private final CoreClient coreClient;
    private final Membership membership;
    private final Queue<RenewReplyBatch> replyBatches = new ConcurrentLinkedQueue<>();
    private volatile PartReplica[] replicas = {};
    private long nextJoinAt;
    private long nextWaitingLogAt;
    private long nextSaveAt;
    private volatile String savedKnownStores = "";
    private volatile long leavingSince;
    private volatile long savedIncarnation;

    public Store(Port port, Folder folder, Node self, List<String> seeds, int founderCount, Random random) {
        this(port, folder, self, seeds, Rules.of(founderCount), random);
    }

    public Store(Port port, Folder folder, Node self, List<String> seeds, Rules rules, Random random) {
        this.port = port;
        this.folder = folder;
        this.rules = rules;
        saveExecutor = rules.executors().apply(Parts.MANIFEST);
        settings = rules.settings();
        this.seeds = seeds;
        this.random = random;
        self.storeId = loadOrCreateIdentity();
        if (self.life != 0) self.incarnation = self.above(loadLastIncarnation());
        directory = new Directory(port, self, withKnownStores(seeds), rules.timing());
        coreClient = new CoreClient(port, directory, random.nextLong());
        membership = new Membership(port, directory, coreClient, rules.timing());
        reopenCore();
        founderAddresses = loadFounders();
    }

    private Set<String> loadFounders() {
        if (!settings.seedsOnly()) return Set.of();
        var bytes = folder.read(FOUNDERS_FILE);
        if (bytes == null && settings.firstStart())
            folder.replace(FOUNDERS_FILE, bytes = String.join("\n", seeds).getBytes());
        return bytes == null ? Set.of() : Set.of(new String(bytes).split("\n"));
    }

    private boolean mayFound(Node node) {
        return !settings.seedsOnly()
                || (founderAddresses.isEmpty()
                        ? seeds.contains(node.peerAddress)
                        : founderAddresses.contains(node.peerAddress));
    }

    public Directory directory() {
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

    private long loadOrCreateIdentity() {
        var bytes = folder.read(IDENTITY_FILE);
        try {
            if (bytes != null)
                return ByteBuffer.wrap(Seal.open(IDENTITY_FILE, bytes)).getLong();
            if (!folder.names().stream().allMatch(name -> name.startsWith(LOST_FILE_PREFIX)))
                setAllFilesAside("the identity is missing");
        } catch (DiskLostException e) {
            setAllFilesAside(e.getMessage());
        }
        var storeId = random.nextLong() >>> 1 | 1;
        folder.replace(
                IDENTITY_FILE,
                Seal.close(ByteBuffer.allocate(8).putLong(storeId).array()));
        return storeId;
    }

    /** The incarnation that the last process on this disk told of; 0 where that is not known. */
    private long loadLastIncarnation() {
        var bytes = folder.read(INCARNATION_FILE);
        try {
            return bytes == null
                    ? 0
                    : ByteBuffer.wrap(Seal.open(INCARNATION_FILE, bytes)).getLong();
        } catch (DiskLostException e) {
            port.note(Event.DISK_FAILED, INCARNATION_FILE + ": " + e.getMessage());
            return 0;
        }
    }

    private void saveIncarnation(long incarnation) {
        try {
            folder.replace(
                    INCARNATION_FILE,
                    Seal.close(ByteBuffer.allocate(8).putLong(incarnation).array()));
            savedIncarnation = incarnation;
        } catch (DiskException e) {
            port.note(Event.DISK_FAILED, INCARNATION_FILE + ": " + e.getMessage());
        }
    }

    /**
     * Renames all files, the identity first: whatever a crash leaves, no start takes the rest for a store that still has
     * its votes and entries.
     */
    private void setAllFilesAside(String cause) {
        port.note(Event.DISK_LOST, cause);
        if (folder.read(IDENTITY_FILE) != null) setAsideFile(IDENTITY_FILE);
        for (var name : folder.names()) if (!name.startsWith(LOST_FILE_PREFIX)) setAsideFile(name);
    }

    /** An earlier file set aside under this name stays: it gets a number. */
    private void setAsideFile(String name) {
        var target = LOST_FILE_PREFIX + name;
        for (var copyNumber = 2; folder.read(target) != null; copyNumber++)
            target = LOST_FILE_PREFIX + copyNumber + "." + name;
        folder.rename(name, target);
    }

    private List<String> withKnownStores(List<String> seeds) {
        var addresses = new ArrayList<>(seeds);
        var bytes = folder.read(KNOWN_STORES_FILE);
        if (bytes != null)
            for (var address : new String(bytes).split("\n"))
                if (!address.isBlank() && !addresses.contains(address)) addresses.add(address);
        return addresses;
    }

    private void reopenCore() {
        var bytes = folder.read(CORE_FILE);
        if (bytes == null) return;
        try {
            startReplicas(Codec.read(Founding.class, Seal.open(CORE_FILE, bytes)));
        } catch (DiskLostException | BadMessageException e) {
            setAllFilesAside(e.getMessage());
            directory.self().storeId = loadOrCreateIdentity();
            directory.forgetCore();
            replicas = new PartReplica[0];
        }
    }

    private void startReplicas(Founding founding) {
        var selfId = directory.self().storeId;
        directory.founding(founding, founding.coreId);
        var initialMembers = founding.has(selfId) ? Members.of(founding.stores, founding.zones) : new Members();
        initialMembers.generation = founding.has(selfId) ? founding.generation : 0;
        var started = new PartReplica[Parts.COUNT];
        for (var part = 0; part < started.length; part++)
            started[part] = new PartReplica(
                    part,
                    selfId,
                    folder,
                    initialMembers,
                    port,
                    directory,
                    membership,
                    rules,
                    new Random(random.nextLong()));
        replicas = started;
    }

    public void tick() {
        tickNode();
        for (var part = 0; part < Parts.COUNT; part++) tickPart(part);
    }

    public void tickPart(int part) {
        withReplica(part, PartReplica::tick);
    }

    public void tickNode() {
        var now = port.now();
        if (directory.newer() != null) followNewerCore(directory.newer());
        directory.tick(now);
        if (directory.self().coreId == 0) tryFoundCore(now);
        membership.tick(now);
        coreClient.tick(now);
        replyBatches.removeIf(batch -> batch.flushIfOverdue(now));
        if (now >= nextJoinAt) sendJoinRequests(now);
        if (now >= nextSaveAt) saveKnownStores(now);
    }

    private void closeReplicas() {
        for (var replica : replicas) replica.close();
        replicas = new PartReplica[0];
    }

    private void followNewerCore(Founding founding) {
        port.note(
                Event.SURRENDERED, "core " + Long.toHexString(founding.coreId) + " generation " + founding.generation);
        closeReplicas();
        setAllFilesAside("generation " + founding.generation + " of the core lives");
        founderAddresses = Set.of();
        directory.follow(founding);
        directory.self().storeId = loadOrCreateIdentity();
        directory.self().coreId = 0;
        membership.follow();
    }

    public Either<Problem, Rebuild> rebuild() {
        var now = port.now();
        var founding = directory.founding();
        if (replicas.length == 0 || founding == null)
            return Either.left(Problem.of(Kind.BAD_INTENT, "this store holds no core to rebuild from"));
        for (var replica : replicas) {
            var part = replica.group().part();
            var reachableVoters = 0;
            for (var voter : replica.group().members().voters) {
                var node = directory.store(voter);
                if (voter == directory.self().storeId || node != null && directory.heard(node.name, now))
                    reachableVoters++;
            }
            if (replica.group().leaderHeard(now, LEADER_ALIVE_WINDOW_MICROS)
                    || reachableVoters >= replica.group().members().majority()
                            && replica.group().members().voters.length > 1)
                return Either.left(
                        Problem.of(Kind.BAD_INTENT, "a majority of part " + part + " lives; nothing is to be rebuilt"));
        }
        return Either.right(Rebuild.of(founding, replicas));
    }

    public Either<Problem, Rebuild> rebuild(String token) {
        var proposal = rebuild();
        if (proposal.isLeft()) return proposal;
        if (!proposal.get().token().equals(token))
            return Either.left(Problem.of(Kind.STALE_PLAN, "this store's state moved since; look again"));
        var self = directory.self();
        var founding = new Founding();
        founding.origin = directory.founding().origin();
        founding.generation = directory.founding().generation + 1;
        founding.coreId = Hash.of(Hash.of(founding.origin, founding.generation), self.storeId) | 1;
        founding.stores = new long[] {self.storeId};
        founding.zones = new String[] {self.zone};
        closeReplicas();
        folder.replace(CORE_FILE, Seal.close(Codec.write(founding)));
        port.note(Event.REBUILT, "core " + Long.toHexString(founding.coreId) + " generation " + founding.generation);
        directory.follow(founding);
        membership.follow();
        startReplicas(founding);
        return proposal;
    }

    private void sendJoinRequests(long now) {
        nextJoinAt = now + (rules.timing().lowTraffic() ? JOIN_INTERVAL_MICROS / 2 : JOIN_INTERVAL_MICROS);
        for (var replica : replicas) {
            var leaving = leavingSince != 0;
            if (!leaving && !replica.shouldJoin(now)) continue;
            var leader = coreClient.leader(replica.group().part());
            if (leader == null || leader.name.equals(directory.self().name)) continue;
            var request = new Join();
            request.part = replica.group().part();
            request.from = directory.self();
            request.leaving = leaving;
            port.send(leader.peerAddress, request);
        }
    }

    private void saveKnownStores(long now) {
        nextSaveAt = now + SAVE_INTERVAL_MICROS;
        var addresses = String.join(
                "\n",
                directory.stores().stream()
                        .map(node -> node.peerAddress)
                        .sorted()
                        .toList());
        var incarnation = directory.self().incarnation;
        if (incarnation != savedIncarnation) saveExecutor.execute(() -> saveIncarnation(incarnation));
        if (!addresses.equals(savedKnownStores)) saveExecutor.execute(() -> saveKnownStores(addresses));
    }

    private void saveKnownStores(String addresses) {
        try {
            folder.replace(KNOWN_STORES_FILE, addresses.getBytes());
            savedKnownStores = addresses;
        } catch (DiskException e) {
            port.note(Event.DISK_FAILED, KNOWN_STORES_FILE + ": " + e.getMessage());
        }
    }

    private void tryFoundCore(long now) {
        var recentlyHeard = directory.known().stream()
                .filter(known -> now - known.heard < Directory.STALE)
                .toList();
        var founding = directory.founding();
        if (founding != null) {
            adoptCore(founding);
            return;
        }
        if (recentlyHeard.stream().anyMatch(known -> known.node.coreId != 0)) return;
        var emptyStores = new ArrayList<Node>();
        if (!mayFound(directory.self())) return;
        emptyStores.add(directory.self());
        recentlyHeard.stream()
                .map(known -> known.node)
                .filter(node -> node.kind.equals(Node.STORE) && mayFound(node))
                .forEach(emptyStores::add);
        emptyStores.sort(Comparator.comparingLong(node -> node.storeId));
        var digest = digestOf(emptyStores);
        directory.seen(digest);
        var allAgree = recentlyHeard.stream()
                .filter(known -> known.node.kind.equals(Node.STORE) && mayFound(known.node))
                .allMatch(known -> known.seen == digest);
        var mayFoundCore = !settings.seedsOnly() || !founderAddresses.isEmpty();
        if (mayFoundCore && emptyStores.size() == settings.founders() && allAgree)
            adoptCore(newFounding(emptyStores, digest));
        else if (now >= nextWaitingLogAt) logWaitingToFound(emptyStores, now);
    }

    private void logWaitingToFound(List<Node> emptyStores, long now) {
        nextWaitingLogAt = now + WAITING_LOG_INTERVAL_MICROS;
        port.note(
                Event.WAITING_TO_FOUND,
                "sees " + emptyStores.size() + " empty stores "
                        + emptyStores.stream().map(node -> node.name).toList() + " and needs exactly "
                        + settings.founders()
                        + " that see one another");
    }

    private static long digestOf(List<Node> stores) {
        var hash = 1L;
        for (var store : stores) hash = Hash.of(hash, store.storeId);
        return hash | 1;
    }

    private static Founding newFounding(List<Node> stores, long digest) {
        var founding = new Founding();
        founding.coreId = digest;
        founding.stores = stores.stream().mapToLong(store -> store.storeId).toArray();
        founding.zones = stores.stream().map(store -> store.zone).toArray(String[]::new);
        return founding;
    }

    private void adoptCore(Founding founding) {
        folder.replace(CORE_FILE, Seal.close(Codec.write(founding)));
        port.note(
                founding.has(directory.self().storeId) ? Event.FOUNDED : Event.JOINED_CORE,
                "core " + Long.toHexString(founding.coreId));
        startReplicas(founding);
    }

    public void receive(Object message) {
        var now = port.now();
        if (message instanceof Hello hello) directory.receive(hello, now);
        else if (message instanceof RenewReply reply) membership.receive(reply, now);
        else if (message instanceof News news) membership.receive(news, now);
        else if (message instanceof CommandResult reply) coreClient.receive(reply);
        else if (message instanceof PartMessage partMessage)
            withReplica(partMessage.part, replica -> replica.receive(partMessage));
        else if (message instanceof CommandRequest request) handleCommandRequest(request);
        else if (message instanceof RenewReplies reply) membership.receive(reply, now);
        else if (message instanceof Renewals renewal) handleRenewals(renewal, now);
        else if (message instanceof Renew renewal)
            withReplica(
                    renewal.part,
                    replica -> replica.receive(renewal, reply -> port.send(renewal.from.peerAddress, reply)));
        else if (message instanceof Subscribe subscription)
            withReplica(Parts.of(subscription.topic), replica -> replica.receive(subscription));
        else if (message instanceof Join join) withReplica(join.part, replica -> replica.receive(join));
        else
            port.note(
                    Event.BAD_MESSAGE, "a store takes no " + message.getClass().getSimpleName());
    }

    private void handleRenewals(Renewals renewals, long now) {
        if (renewals.from == null) return;
        var batch = new RenewReplyBatch(port, directory.self(), renewals);
        replyBatches.add(batch);
        for (var renewal : renewals.parts) {
            renewal.from = renewals.from;
            renewal.stamp = renewals.stamp;
            renewal.leaving = renewals.leaving;
            withReplica(renewal.part, replica -> replica.receive(renewal, batch::add));
        }
    }

    private void handleCommandRequest(CommandRequest request) {
        if (replicas.length > 0) {
            withReplica(request.part, replica -> replica.receive(request));
            return;
        }
        var result = Records.failure(Kind.NOT_OWNER, "");
        result.id = request.id;
        result.life = request.life;
        port.send(request.from.peerAddress, result);
    }

    private void withReplica(int part, Consumer<PartReplica> action) {
        var current = replicas;
        if (part >= 0 && part < current.length) action.accept(current[part]);
    }

    /**
     * Begins or goes on with a planned stop: hands over what this store leads and tells the leaders that it is about to stop.
     * Whether it is still needed, because it leads, or because its successor does not count yet, or because another voter lacks
     * what this one holds. To be called again until it is not, or until the time to stop is over.
     */
    public boolean leave() {
        var now = port.now();
        if (leavingSince == 0) {
            leavingSince = now;
            nextJoinAt = now;
        }
        var stillNeeded = now - leavingSince < HANDOVER_TIMEOUT_MICROS && transferLeadership();
        for (var replica : replicas) stillNeeded |= replica.needed(leavingSince, now);
        return stillNeeded;
    }

    public boolean transferLeadership() {
        var leadsAny = false;
        for (var replica : replicas) {
            if (!replica.leads()) continue;
            leadsAny = true;
            replica.transferLeadership();
        }
        return leadsAny;
    }
}
