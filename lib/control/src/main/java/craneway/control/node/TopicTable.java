package craneway.control.node;

import craneway.model.event.Event;
import craneway.model.manifest.Manifest;
import craneway.model.manifest.ManifestReader;
import craneway.model.unit.Parts;
import craneway.model.unit.RendezvousHash;
import craneway.model.unit.TimingProfile;
import craneway.state.message.Codec;
import craneway.state.message.Messages.Subscription;
import craneway.state.message.Messages.TopicUpdate;
import craneway.state.message.Node;
import craneway.state.record.Rows;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntFunction;
import java.util.function.ObjLongConsumer;

/**
 * The topics that a process follows, the manifest and one for each service: their versions, the nodes they are
 * subscribed from, and the subscribers of this process. Routers of a zone share subscriptions: each topic is fetched
 * by one of them, which passes it on to the others. Not synchronized; {@link Membership} guards it.
 */
final class TopicTable {
    /** A topic that has been behind for this long is requested from the leader, at most once in this time. */
    private static final long PULL_FROM_LEADER_AFTER_MICROS = 300_000;
    /** A lease is not extended once a topic of its part has been behind for this long. */
    private static final long MAX_BEHIND_MICROS = 1_000_000;
    /** How long a subscription lasts unless it is renewed. */
    private static final long SUBSCRIPTION_TTL_MICROS = 2_000_000;

    /** The state of one topic. */
    private static final class Topic {
        long version;
        byte[] body;
        /** The newest version that a leader has announced; {@code version} is what this process has. */
        long newestVersion;

        /** Since when a newer version is known to exist; 0 if this one is current. */
        long behindSince;

        long nextSubscribeAt;
        long lastPullAt;
        final Map<String, Long> subscribedAtByAddress = new HashMap<>();
    }

    private final Port port;
    private final NodeDirectory directory;
    private final CoreClient coreClient;
    private final TimingProfile timing;
    private final IntFunction<List<Node>> membersOfPart;
    private final Map<String, Topic> topics = new TreeMap<>();
    private final Map<String, Rows.Service> services = new TreeMap<>();
    private final Map<String, TopicUpdate> updatesBeforeManifest = new HashMap<>();
    private Map<String, Rows.Service> servicesSnapshot;
    private Rows.Manifest manifestTopic = new Rows.Manifest();
    private Manifest manifest;

    TopicTable(
            Port port,
            NodeDirectory directory,
            CoreClient coreClient,
            TimingProfile timing,
            IntFunction<List<Node>> members) {
        this.port = port;
        this.directory = directory;
        this.coreClient = coreClient;
        this.timing = timing;
        this.membersOfPart = members;
        topics.put(Parts.MANIFEST_TOPIC, new Topic());
    }

    /** The content of the manifest topic: the manifest text, its version and the marks. */
    Rows.Manifest manifestTopic() {
        return manifestTopic;
    }

    /** The manifest in force; null before the first. */
    Manifest manifest() {
        return manifest;
    }

    /** The services as last received; the same map until one of them changes. */
    Map<String, Rows.Service> services() {
        if (servicesSnapshot == null) servicesSnapshot = Map.copyOf(services);
        return servicesSnapshot;
    }

    /** Forgets the versions, which belong to another core, and keeps the contents until new ones arrive. */
    void resetVersions() {
        topics.values().forEach(topic -> {
            topic.version = topic.newestVersion = topic.behindSince = 0;
            topic.body = null;
        });
    }

    /** Whether there is a manifest and every topic has the newest version known. */
    boolean isCurrent() {
        return manifest != null
                && topics.values().stream()
                        .noneMatch(topic -> topic.version == 0 || topic.version < topic.newestVersion);
    }

    /** Whether some topic of a part has never been received. */
    boolean hasUnknownTopic(int part) {
        return topics.entrySet().stream()
                .anyMatch(entry -> Parts.partOf(entry.getKey()) == part && entry.getValue().version == 0);
    }

    /** Passes the name and version of each topic of a part to the consumer. */
    void forEachVersion(int part, ObjLongConsumer<String> consumer) {
        topics.forEach((name, topic) -> {
            if (Parts.partOf(name) == part) consumer.accept(name, topic.version);
        });
    }

    /**
     * Whether the topics of a part are too far behind for its lease to be taken, or, if it is held, to be extended.
     */
    boolean isTooFarBehind(int part, boolean isHeld, long now) {
        return topics.entrySet().stream()
                .filter(entry -> Parts.partOf(entry.getKey()) == part)
                .map(Map.Entry::getValue)
                .anyMatch(topic -> topic.behindSince != 0 && (!isHeld || now - topic.behindSince > MAX_BEHIND_MICROS));
    }

    /** Records that a leader has announced a version of a topic. */
    void recordAdvertisedVersion(String name, long version, long now) {
        var topic = topics.get(name);
        if (topic == null) return;
        topic.newestVersion = Math.max(topic.newestVersion, version);
        if (topic.newestVersion > topic.version && topic.behindSince == 0) topic.behindSince = now;
    }

    /** Subscribes to every topic whose subscription is due. */
    void renewSubscriptions(long now) {
        topics.forEach((name, topic) -> renewSubscriptions(name, topic, now));
    }

    /**
     * Subscribes to a topic at the router that fetches it for this zone, else, or if the topic is overdue, at the
     * leader of its part.
     */
    private void renewSubscriptions(String name, Topic topic, long now) {
        topic.subscribedAtByAddress.values().removeIf(subscribedAt -> now - subscribedAt > SUBSCRIPTION_TTL_MICROS);
        var isOverdue = topic.behindSince != 0
                && now - topic.behindSince > PULL_FROM_LEADER_AFTER_MICROS
                && now - topic.lastPullAt > PULL_FROM_LEADER_AFTER_MICROS;
        if (now < topic.nextSubscribeAt && !isOverdue || timing.lowTraffic() && topic.version == 0) return;
        var source = isOverdue ? null : subscriptionSource(name);
        if (source == null || source.name.equals(directory.self().name)) source = coreClient.leader(Parts.partOf(name));
        if (isOverdue) topic.lastPullAt = now;
        if (source == null) return;
        topic.nextSubscribeAt = now + timing.subscriptionRenewalInterval();
        var request = new Subscription();
        request.from = directory.self();
        request.topic = name;
        request.knownVersion = topic.version;
        port.send(source.peerAddress, request);
    }

    /**
     * The serving router of this zone that fetches the topic, chosen by rendezvous hashing; null if this process is
     * not a router.
     */
    private Node subscriptionSource(String topic) {
        if (!directory.self().isRouter()) return null;
        var candidates = new TreeMap<String, Node>();
        candidates.put(directory.self().name, directory.self());
        for (var member : membersOfPart.apply(Parts.partOf(topic)))
            if (member.isRouter() && member.serving && member.zone.equals(directory.self().zone))
                candidates.put(member.name, member);
        return candidates.get(RendezvousHash.pick(topic, candidates.keySet()));
    }

    /** Adds a subscriber and sends it the topic if it has an older version. */
    void addSubscriber(Subscription request, long now) {
        var topic = topics.get(request.topic);
        if (topic == null || request.from == null) return;
        topic.subscribedAtByAddress.put(request.from.peerAddress, now);
        if (topic.body != null && topic.version > request.knownVersion)
            port.send(request.from.peerAddress, updateOf(request.topic, topic));
    }

    /** A message with the content of a topic. */
    private static TopicUpdate updateOf(String name, Topic topic) {
        var update = new TopicUpdate();
        update.topic = name;
        update.version = topic.version;
        update.body = topic.body;
        return update;
    }

    /**
     * Accepts an update that is newer than what this process has and passes it on to its subscribers. Returns whether
     * it was newer.
     */
    boolean accept(TopicUpdate update) {
        var topic = topics.get(update.topic);
        if (topic == null && timing.lowTraffic() && manifest == null)
            updatesBeforeManifest.merge(update.topic, update, (a, b) -> a.version < b.version ? b : a);
        if (topic == null || update.version <= topic.version) return false;
        if (update.topic.equals(Parts.MANIFEST_TOPIC)) acceptManifest(Codec.decode(Rows.Manifest.class, update.body));
        else acceptService(Codec.decode(Rows.Service.class, update.body));
        topic.version = update.version;
        topic.newestVersion = Math.max(topic.newestVersion, update.version);
        topic.body = update.body;
        if (topic.version >= topic.newestVersion) topic.behindSince = 0;
        topic.subscribedAtByAddress.keySet().forEach(a -> port.send(a, updateOf(update.topic, topic)));
        return true;
    }

    /**
     * Returns and removes the updates of services that arrived before the manifest that names them; empty until the
     * manifest has arrived.
     */
    List<TopicUpdate> takeDeferredUpdates() {
        if (manifest == null || updatesBeforeManifest.isEmpty()) return List.of();
        var deferred = List.copyOf(updatesBeforeManifest.values());
        updatesBeforeManifest.clear();
        return deferred;
    }

    /** Puts a manifest in force; topics of services that it no longer names are dropped. */
    private void acceptManifest(Rows.Manifest row) {
        manifestTopic = row;
        if (row.text.isEmpty()) return;
        manifest = ManifestReader.readValidated(row.text)
                .getOrElseThrow(problem -> new IllegalStateException(problem.detail()));
        directory.setGraceMicros(manifest.lapsedLeaseGrace());
        port.logEvent(Event.MANIFEST_APPLIED, "version " + row.version + " marks " + row.marks);
        for (var service : manifest.services().keySet()) topics.computeIfAbsent(service, name -> new Topic());
        topics.keySet()
                .removeIf(name -> !name.equals(Parts.MANIFEST_TOPIC)
                        && !manifest.services().containsKey(name));
        services.keySet().removeIf(name -> !manifest.services().containsKey(name));
        servicesSnapshot = null;
    }

    private void acceptService(Rows.Service service) {
        var previous = services.put(service.name, service);
        servicesSnapshot = null;
        if (previous == null || previous.tableVersion != service.tableVersion)
            port.logEvent(Event.TABLE_APPLIED, service.name + " version " + service.tableVersion);
    }
}
