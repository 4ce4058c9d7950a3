package craneway.control.store;

import craneway.control.node.CoreClient;
import craneway.control.node.Membership;
import craneway.control.node.NodeDirectory;
import craneway.control.node.Port;
import craneway.model.event.Event;
import craneway.model.problem.Problem;
import craneway.model.problem.ProblemKind;
import craneway.model.unit.Hash;
import craneway.model.unit.Parts;
import craneway.state.disk.ChecksumEnvelope;
import craneway.state.disk.DiskException;
import craneway.state.disk.DiskLostException;
import craneway.state.disk.Folder;
import craneway.state.message.BadMessageException;
import craneway.state.message.Codec;
import craneway.state.message.Messages.CommandRequest;
import craneway.state.message.Messages.CommandResult;
import craneway.state.message.Messages.Founding;
import craneway.state.message.Messages.Hello;
import craneway.state.message.Messages.Join;
import craneway.state.message.Messages.Renewal;
import craneway.state.message.Messages.RenewalReplies;
import craneway.state.message.Messages.RenewalReply;
import craneway.state.message.Messages.Renewals;
import craneway.state.message.Messages.Subscription;
import craneway.state.message.Messages.TopicUpdate;
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

/**
 * A store process: it bootstraps a core together with other empty stores or joins an existing one, holds a replica of
 * each part, and takes part in the core as a node with leases of its own.
 *
 * <p>The owner calls {@link #tick}, or {@link #tickNode} and {@link #tickPart} from several threads, every few
 * milliseconds, and passes every message to {@link #receive}. Replicas run on the executors of the {@link
 * StoreOptions}.
 */
public final class Store {
    /** Holds the id of this store, drawn at random when its folder was empty. */
    private static final String IDENTITY_FILE = "identity";

    /** Holds the core's {@link Founding} record; its absence means that this store belongs to no core yet. */
    private static final String CORE_FILE = "core";

    /** Holds the addresses of all stores known, which are contacted like seeds after a restart. */
    private static final String KNOWN_STORES_FILE = "known";

    /** Holds the last incarnation used by a process on this folder. */
    private static final String INCARNATION_FILE = "life";

    /** Holds the addresses of the seeds at the first start, if only those may bootstrap the core. */
    private static final String FOUNDERS_FILE = "founders";

    /** Files of a damaged or replaced folder are kept under names with this prefix. */
    private static final String LOST_FILE_PREFIX = "lost.";

    /** How often requests to join or leave are repeated; half of it with the low-traffic profile. */
    private static final long JOIN_INTERVAL_MICROS = 500_000;

    /** How often a store that cannot bootstrap a core yet logs what it waits for. */
    private static final long WAITING_LOG_INTERVAL_MICROS = 5_000_000;

    /** How often the known stores and the incarnation are saved if they changed. */
    private static final long SAVE_INTERVAL_MICROS = 5_000_000;

    /** A core may be rebuilt only if no leader has been heard for this long. */
    private static final long LEADER_ALIVE_WINDOW_MICROS = 3_000_000;

    /** How long a store that stops tries to transfer the leadership of its parts. */
    private static final long HANDOVER_TIMEOUT_MICROS = 2_000_000;

    private final Port port;
    private final Folder folder;
    private final StoreOptions options;
    private final Executor saveExecutor;
    private final CoreSettings settings;
    private final List<String> seeds;
    private Set<String> founderAddresses;
    private final Random random;
    private final NodeDirectory directory;
    private final CoreClient coreClient;
    private final Membership membership;
    private final Queue<RenewalReplyBatch> replyBatches = new ConcurrentLinkedQueue<>();
    private volatile PartReplica[] replicas = {};
    private long nextJoinAt;
    private long nextWaitingLogAt;
    private long nextSaveAt;
    private volatile String savedKnownStores = "";
    private volatile long leavingSince;
    private volatile long savedIncarnation;

    /** Opens a store with default options that bootstraps a core with {@code founderCount} empty stores. */
    public Store(Port port, Folder folder, Node self, List<String> seeds, int founderCount, Random random) {
        this(port, folder, self, seeds, StoreOptions.of(founderCount), random);
    }

    /**
     * Opens a store on its folder. Sets the store id of {@code self} from the folder and raises its incarnation above
     * the last one saved there.
     *
     * @param seeds addresses of stores to contact first
     * @param random also the source of the ids of this store and of its client
     */
    public Store(Port port, Folder folder, Node self, List<String> seeds, StoreOptions options, Random random) {
        this.port = port;
        this.folder = folder;
        this.options = options;
        saveExecutor = options.executorByPart().apply(Parts.MANIFEST_PART);
        settings = options.settings();
        this.seeds = seeds;
        this.random = random;
        self.storeId = loadOrCreateIdentity();
        if (self.sessionId != 0) self.incarnation = self.incarnationAbove(loadLastIncarnation());
        directory = new NodeDirectory(port, self, withKnownStores(seeds), options.timing());
        coreClient = new CoreClient(port, directory, random.nextLong());
        membership = new Membership(port, directory, coreClient, options.timing());
        reopenCore();
        founderAddresses = loadFounders();
    }

    /**
     * The addresses of the stores that may bootstrap the core; empty if any store may, or if this store was not started
     * at the first start.
     */
    private Set<String> loadFounders() {
        if (!settings.seedsOnly()) return Set.of();
        var bytes = folder.read(FOUNDERS_FILE);
        if (bytes == null && settings.mayBootstrap())
            folder.replace(FOUNDERS_FILE, bytes = String.join("\n", seeds).getBytes());
        return bytes == null ? Set.of() : Set.of(new String(bytes).split("\n"));
    }

    /** Whether a store may be among those that bootstrap the core. */
    private boolean mayBootstrap(Node node) {
        return !settings.seedsOnly()
                || (founderAddresses.isEmpty()
                        ? seeds.contains(node.peerAddress)
                        : founderAddresses.contains(node.peerAddress));
    }

    /** The nodes that this store knows. */
    public NodeDirectory directory() {
        return directory;
    }

    /** Sends commands and queries of this process to the leaders of the parts. */
    public CoreClient coreClient() {
        return coreClient;
    }

    /** This store's own leases and the manifest and tables it follows. */
    public Membership membership() {
        return membership;
    }

    /** The replicas by part; empty as long as this store belongs to no core. */
    public PartReplica[] replicas() {
        return replicas;
    }

    /**
     * Reads the id of this store. A folder without a readable identity counts as lost: its files are set aside and a
     * new id is drawn, since the votes and entries of the old one may be missing.
     */
    private long loadOrCreateIdentity() {
        var bytes = folder.read(IDENTITY_FILE);
        try {
            if (bytes != null)
                return ByteBuffer.wrap(ChecksumEnvelope.unwrap(IDENTITY_FILE, bytes))
                        .getLong();
            if (!folder.fileNames().stream().allMatch(name -> name.startsWith(LOST_FILE_PREFIX)))
                setAllFilesAside("the file with the identity of the store is missing");
        } catch (DiskLostException e) {
            setAllFilesAside(e.getMessage());
        }
        var storeId = random.nextLong() >>> 1 | 1;
        folder.replace(
                IDENTITY_FILE,
                ChecksumEnvelope.wrap(ByteBuffer.allocate(8).putLong(storeId).array()));
        return storeId;
    }

    /** The incarnation that the last process on this folder saved; 0 if there is none or it cannot be read. */
    private long loadLastIncarnation() {
        var bytes = folder.read(INCARNATION_FILE);
        try {
            return bytes == null
                    ? 0
                    : ByteBuffer.wrap(ChecksumEnvelope.unwrap(INCARNATION_FILE, bytes))
                            .getLong();
        } catch (DiskLostException e) {
            port.logEvent(Event.DISK_WRITE_FAILED, INCARNATION_FILE + ": " + e.getMessage());
            return 0;
        }
    }

    private void saveIncarnation(long incarnation) {
        try {
            folder.replace(
                    INCARNATION_FILE,
                    ChecksumEnvelope.wrap(
                            ByteBuffer.allocate(8).putLong(incarnation).array()));
            savedIncarnation = incarnation;
        } catch (DiskException e) {
            port.logEvent(Event.DISK_WRITE_FAILED, INCARNATION_FILE + ": " + e.getMessage());
        }
    }

    /**
     * Renames all files, the identity first: after a crash at any point no start mistakes the remaining files for a
     * store that still has its votes and entries.
     */
    private void setAllFilesAside(String cause) {
        port.logEvent(Event.DATA_DIRECTORY_DAMAGED, cause);
        if (folder.read(IDENTITY_FILE) != null) setAsideFile(IDENTITY_FILE);
        for (var name : folder.fileNames()) if (!name.startsWith(LOST_FILE_PREFIX)) setAsideFile(name);
    }

    /** Renames a file; if one of that name was set aside before, the new one gets a number. */
    private void setAsideFile(String name) {
        var target = LOST_FILE_PREFIX + name;
        for (var copyNumber = 2; folder.read(target) != null; copyNumber++)
            target = LOST_FILE_PREFIX + copyNumber + "." + name;
        folder.rename(name, target);
    }

    /** The seeds and the addresses saved earlier. */
    private List<String> withKnownStores(List<String> seeds) {
        var addresses = new ArrayList<>(seeds);
        var bytes = folder.read(KNOWN_STORES_FILE);
        if (bytes != null)
            for (var address : new String(bytes).split("\n"))
                if (!address.isBlank() && !addresses.contains(address)) addresses.add(address);
        return addresses;
    }

    /**
     * Starts the replicas of the core that this store belongs to; sets the folder aside if the record or a log is
     * damaged.
     */
    private void reopenCore() {
        var bytes = folder.read(CORE_FILE);
        if (bytes == null) return;
        try {
            startReplicas(Codec.decode(Founding.class, ChecksumEnvelope.unwrap(CORE_FILE, bytes)));
        } catch (DiskLostException | BadMessageException e) {
            setAllFilesAside(e.getMessage());
            directory.self().storeId = loadOrCreateIdentity();
            directory.forgetCore();
            replicas = new PartReplica[0];
        }
    }

    /** Opens a replica of each part. A store that is not among the founders starts with no members and joins. */
    private void startReplicas(Founding founding) {
        var selfId = directory.self().storeId;
        directory.founding(founding, founding.coreId);
        var initialMembers = founding.hasStore(selfId) ? Members.of(founding.storeIds, founding.zones) : new Members();
        initialMembers.coreGeneration = founding.hasStore(selfId) ? founding.generation : 0;
        var started = new PartReplica[Parts.PART_COUNT];
        for (var part = 0; part < started.length; part++)
            started[part] = new PartReplica(
                    part,
                    selfId,
                    folder,
                    initialMembers,
                    port,
                    directory,
                    membership,
                    options,
                    new Random(random.nextLong()));
        replicas = started;
    }

    /** Does the periodic work of the node and of all parts. */
    public void tick() {
        tickNode();
        for (var part = 0; part < Parts.PART_COUNT; part++) tickPart(part);
    }

    /** Does the periodic work of one part. */
    public void tickPart(int part) {
        withReplica(part, PartReplica::tick);
    }

    /**
     * Does the periodic work of the node: greetings, bootstrap, leases, retries of commands, requests to join, and
     * saving.
     */
    public void tickNode() {
        var now = port.now();
        if (directory.newerFounding() != null) followNewerCore(directory.newerFounding());
        directory.tick(now);
        if (directory.self().coreId == 0) tryBootstrapCore(now);
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

    /**
     * Gives up the data of this store, because a newer generation of its core was rebuilt elsewhere, and joins that
     * one as an empty store.
     */
    private void followNewerCore(Founding founding) {
        port.logEvent(
                Event.GENERATION_SUPERSEDED,
                "core " + Long.toHexString(founding.coreId) + " generation " + founding.generation);
        closeReplicas();
        setAllFilesAside("generation " + founding.generation + " of the core replaces this one");
        founderAddresses = Set.of();
        directory.followCore(founding);
        directory.self().storeId = loadOrCreateIdentity();
        directory.self().coreId = 0;
        membership.followCore();
    }

    /**
     * Proposes to rebuild the core from this store alone. Refused if a leader was heard recently or a majority of a
     * part can be reached.
     */
    public Either<Problem, RebuildProposal> rebuild() {
        var now = port.now();
        var founding = directory.founding();
        if (replicas.length == 0 || founding == null)
            return Either.left(Problem.of(ProblemKind.BAD_INTENT, "this store has no core data to rebuild from"));
        for (var replica : replicas) {
            var part = replica.group().part();
            var reachableVoters = 0;
            for (var voter : replica.group().members().voters) {
                var node = directory.storeById(voter);
                if (voter == directory.self().storeId || node != null && directory.wasHeardRecently(node.name, now))
                    reachableVoters++;
            }
            if (replica.group().hasLeaderContact(now, LEADER_ALIVE_WINDOW_MICROS)
                    || reachableVoters >= replica.group().members().majority()
                            && replica.group().members().voters.length > 1)
                return Either.left(Problem.of(
                        ProblemKind.BAD_INTENT,
                        "a majority of part " + part + " is alive; there is nothing to rebuild"));
        }
        return Either.right(RebuildProposal.of(founding, replicas));
    }

    /**
     * Rebuilds the core from this store's data as a new generation with this store as its only member. The token must
     * be that of the current proposal, so that an operator confirms the state that was shown.
     */
    public Either<Problem, RebuildProposal> rebuild(String token) {
        var proposal = rebuild();
        if (proposal.isLeft()) return proposal;
        if (!proposal.get().confirmationToken().equals(token))
            return Either.left(Problem.of(
                    ProblemKind.STALE_PLAN,
                    "the state of this store changed after the rebuild was proposed; request a new proposal"));
        var self = directory.self();
        var founding = new Founding();
        founding.originalCoreId = directory.founding().originalCoreId();
        founding.generation = directory.founding().generation + 1;
        founding.coreId = Hash.of(Hash.of(founding.originalCoreId, founding.generation), self.storeId) | 1;
        founding.storeIds = new long[] {self.storeId};
        founding.zones = new String[] {self.zone};
        closeReplicas();
        folder.replace(CORE_FILE, ChecksumEnvelope.wrap(Codec.encode(founding)));
        port.logEvent(
                Event.CORE_REBUILT, "core " + Long.toHexString(founding.coreId) + " generation " + founding.generation);
        directory.followCore(founding);
        membership.followCore();
        startReplicas(founding);
        return proposal;
    }

    /**
     * Asks the leaders to let this store join the groups it is missing from, or, while it stops, whether it may
     * leave.
     */
    private void sendJoinRequests(long now) {
        nextJoinAt = now + (options.timing().lowTraffic() ? JOIN_INTERVAL_MICROS / 2 : JOIN_INTERVAL_MICROS);
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

    /**
     * Saves the known stores and the incarnation on the save executor, so that a slow disk does not delay the tick.
     */
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
            port.logEvent(Event.DISK_WRITE_FAILED, KNOWN_STORES_FILE + ": " + e.getMessage());
        }
    }

    /**
     * Bootstraps a core once the expected number of empty stores see each other: every store greets with a digest of
     * the empty stores it sees, and all of them must report the same one. Adopts an existing core as soon as a greeting
     * reveals one.
     */
    private void tryBootstrapCore(long now) {
        var recentlyHeard = directory.knownNodes().stream()
                .filter(known -> now - known.lastHeardAt < NodeDirectory.RECENTLY_HEARD_MICROS)
                .toList();
        var founding = directory.founding();
        if (founding != null) {
            adoptCore(founding);
            return;
        }
        if (recentlyHeard.stream().anyMatch(known -> known.node.coreId != 0)) return;
        var emptyStores = new ArrayList<Node>();
        if (!mayBootstrap(directory.self())) return;
        emptyStores.add(directory.self());
        recentlyHeard.stream()
                .map(known -> known.node)
                .filter(node -> node.kind.equals(Node.STORE) && mayBootstrap(node))
                .forEach(emptyStores::add);
        emptyStores.sort(Comparator.comparingLong(node -> node.storeId));
        var digest = digestOf(emptyStores);
        directory.setEmptyStoresDigest(digest);
        var allAgree = recentlyHeard.stream()
                .filter(known -> known.node.kind.equals(Node.STORE) && mayBootstrap(known.node))
                .allMatch(known -> known.emptyStoresDigest == digest);
        var mayFoundCore = !settings.seedsOnly() || !founderAddresses.isEmpty();
        if (mayFoundCore && emptyStores.size() == settings.founderCount() && allAgree)
            adoptCore(newFounding(emptyStores, digest));
        else if (now >= nextWaitingLogAt) logWaitingToBootstrap(emptyStores, now);
    }

    private void logWaitingToBootstrap(List<Node> emptyStores, long now) {
        nextWaitingLogAt = now + WAITING_LOG_INTERVAL_MICROS;
        port.logEvent(
                Event.WAITING_TO_BOOTSTRAP,
                "sees " + emptyStores.size() + " empty stores "
                        + emptyStores.stream().map(node -> node.name).toList() + " and needs exactly "
                        + settings.founderCount()
                        + " that see each other");
    }

    /** A non-zero hash over the ids of stores in their order; it becomes the id of the core that they bootstrap. */
    private static long digestOf(List<Node> stores) {
        var hash = 1L;
        for (var store : stores) hash = Hash.of(hash, store.storeId);
        return hash | 1;
    }

    private static Founding newFounding(List<Node> stores, long digest) {
        var founding = new Founding();
        founding.coreId = digest;
        founding.storeIds = stores.stream().mapToLong(store -> store.storeId).toArray();
        founding.zones = stores.stream().map(store -> store.zone).toArray(String[]::new);
        return founding;
    }

    /** Records the core on disk, as a founder or as a store that joins, and starts the replicas. */
    private void adoptCore(Founding founding) {
        folder.replace(CORE_FILE, ChecksumEnvelope.wrap(Codec.encode(founding)));
        port.logEvent(
                founding.hasStore(directory.self().storeId) ? Event.CORE_BOOTSTRAPPED : Event.JOINED_CORE,
                "core " + Long.toHexString(founding.coreId));
        startReplicas(founding);
    }

    /** Passes a message from another process to the component that handles it. */
    public void receive(Object message) {
        var now = port.now();
        if (message instanceof Hello hello) directory.receive(hello, now);
        else if (message instanceof RenewalReply reply) membership.receive(reply, now);
        else if (message instanceof TopicUpdate update) membership.receive(update, now);
        else if (message instanceof CommandResult result) coreClient.receive(result);
        else if (message instanceof PartMessage partMessage)
            withReplica(partMessage.part, replica -> replica.receive(partMessage));
        else if (message instanceof CommandRequest request) handleCommandRequest(request);
        else if (message instanceof RenewalReplies replies) membership.receive(replies, now);
        else if (message instanceof Renewals renewals) handleRenewals(renewals, now);
        else if (message instanceof Renewal renewal)
            withReplica(
                    renewal.part,
                    replica -> replica.receive(renewal, reply -> port.send(renewal.from.peerAddress, reply)));
        else if (message instanceof Subscription subscription)
            withReplica(Parts.partOf(subscription.topic), replica -> replica.receive(subscription));
        else if (message instanceof Join join) withReplica(join.part, replica -> replica.receive(join));
        else
            port.logEvent(
                    Event.BAD_MESSAGE,
                    "a store does not accept messages of type "
                            + message.getClass().getSimpleName());
    }

    /** Passes the renewals of one message to the replicas and collects their replies for one message. */
    private void handleRenewals(Renewals renewals, long now) {
        if (renewals.from == null) return;
        var batch = new RenewalReplyBatch(port, directory.self(), renewals);
        replyBatches.add(batch);
        for (var renewal : renewals.parts) {
            renewal.from = renewals.from;
            renewal.sentAt = renewals.sentAt;
            renewal.leaving = renewals.leaving;
            withReplica(renewal.part, replica -> replica.receive(renewal, batch::add));
        }
    }

    /** Passes a command to the replica of its part; a store without a core answers that it does not lead. */
    private void handleCommandRequest(CommandRequest request) {
        if (replicas.length > 0) {
            withReplica(request.part, replica -> replica.receive(request));
            return;
        }
        var result = Records.failure(ProblemKind.NOT_OWNER, "");
        result.id = request.id;
        result.sessionId = request.sessionId;
        port.send(request.from.peerAddress, result);
    }

    /** Runs an action on the replica of a part, if there is one. */
    private void withReplica(int part, Consumer<PartReplica> action) {
        var current = replicas;
        if (part >= 0 && part < current.length) action.accept(current[part]);
    }

    /**
     * Starts or continues a planned stop: transfers the leadership of the parts this store leads, and tells the
     * leaders that it is about to stop. Call it repeatedly until it returns false or the time allowed for the stop is
     * over.
     *
     * <p>@return whether this store is still needed: it leads a part, its replacement is not a voter yet, or another
     * voter lacks entries that this one holds
     */
    public boolean continuePlannedLeave() {
        var now = port.now();
        if (leavingSince == 0) {
            leavingSince = now;
            nextJoinAt = now;
        }
        var stillNeeded = now - leavingSince < HANDOVER_TIMEOUT_MICROS && transferLeadership();
        for (var replica : replicas) stillNeeded |= replica.isNeeded(leavingSince, now);
        return stillNeeded;
    }

    /** Starts to transfer the leadership of every part this store leads; returns whether it led any. */
    public boolean transferLeadership() {
        var leadsAny = false;
        for (var replica : replicas) {
            if (!replica.isLeader()) continue;
            leadsAny = true;
            replica.transferLeadership();
        }
        return leadsAny;
    }
}
