package craneway.control.node;

import craneway.model.event.Event;
import craneway.model.manifest.Manifest;
import craneway.model.manifest.ManifestReader;
import craneway.model.unit.Parts;
import craneway.model.unit.Rendezvous;
import craneway.model.unit.TimingProfile;
import craneway.state.message.Codec;
import craneway.state.message.Messages.News;
import craneway.state.message.Messages.Subscribe;
import craneway.state.message.Node;
import craneway.state.record.Rows;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntFunction;
import java.util.function.ObjLongConsumer;

/**
 * The topics that a process follows, the manifest and one for each service: their newest versions, whom they are asked from and
 * who asks this process for them. Not synchronised; {@link Membership} guards it.
 */
final class TopicTable {
    private static final long PULL_FROM_LEADER_AFTER_MICROS = 300_000;
    private static final long MAX_BEHIND_MICROS = 1_000_000;
    private static final long SUBSCRIPTION_TTL_MICROS = 2_000_000;

    private static final class Topic {
        long version;
        byte[] body;
        long newestVersion;
        long behindSince;
        long nextSubscribeAt;
        long lastPullAt;
        final Map<String, Long> subscribedAtByAddress = new HashMap<>();
    }

    private final Port port;
    private final Directory directory;
    private final CoreClient coreClient;
    private final TimingProfile timing;
    private final IntFunction<List<Node>> membersOfPart;
    private final Map<String, Topic> topics = new TreeMap<>();
    private final Map<String, Rows.Service> services = new TreeMap<>();
    private final Map<String, News> newsBeforeManifest = new HashMap<>();
    private Map<String, Rows.Service> servicesSnapshot;
    private Rows.Manifest manifestTopic = new Rows.Manifest();
    private Manifest manifest;

    TopicTable(
            Port port,
            Directory directory,
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

    Rows.Manifest manifestTopic() {
        return manifestTopic;
    }

    /** The manifest in force; null before the first. */
    Manifest manifest() {
        return manifest;
    }

    /** The services as last told; the same map until one of them changes. */
    Map<String, Rows.Service> services() {
        if (servicesSnapshot == null) servicesSnapshot = Map.copyOf(services);
        return servicesSnapshot;
    }

    /** Forgets which versions another core had told, and keeps what they said until the new ones come. */
    void resetVersions() {
        topics.values().forEach(topic -> {
            topic.version = topic.newestVersion = topic.behindSince = 0;
            topic.body = null;
        });
    }

    /** Whether every topic has been told in the newest version known, a manifest among them. */
    boolean isCurrent() {
        return manifest != null
                && topics.values().stream()
                        .noneMatch(topic -> topic.version == 0 || topic.version < topic.newestVersion);
    }

    /** Whether some topic of a part has never been told. */
    boolean hasUnknownTopic(int part) {
        return topics.entrySet().stream()
                .anyMatch(entry -> Parts.of(entry.getKey()) == part && entry.getValue().version == 0);
    }

    /** Tells the versions of a part's topics. */
    void forEachVersion(int part, ObjLongConsumer<String> consumer) {
        topics.forEach((name, topic) -> {
            if (Parts.of(name) == part) consumer.accept(name, topic.version);
        });
    }

    /** Whether a part's topics are too far behind for its lease to be taken, or kept where it is held. */
    boolean isTooFarBehind(int part, boolean isHeld, long now) {
        return topics.entrySet().stream()
                .filter(entry -> Parts.of(entry.getKey()) == part)
                .map(Map.Entry::getValue)
                .anyMatch(topic -> topic.behindSince != 0 && (!isHeld || now - topic.behindSince > MAX_BEHIND_MICROS));
    }

    /** Hears that a topic has reached a version. */
    void recordAdvertisedVersion(String name, long version, long now) {
        var topic = topics.get(name);
        if (topic == null) return;
        topic.newestVersion = Math.max(topic.newestVersion, version);
        if (topic.newestVersion > topic.version && topic.behindSince == 0) topic.behindSince = now;
    }

    /** Asks for every topic that is due. */
    void renewSubscriptions(long now) {
        topics.forEach((name, topic) -> renewSubscriptions(name, topic, now));
    }

    private void renewSubscriptions(String name, Topic topic, long now) {
        topic.subscribedAtByAddress.values().removeIf(subscribedAt -> now - subscribedAt > SUBSCRIPTION_TTL_MICROS);
        var isOverdue = topic.behindSince != 0
                && now - topic.behindSince > PULL_FROM_LEADER_AFTER_MICROS
                && now - topic.lastPullAt > PULL_FROM_LEADER_AFTER_MICROS;
        if (now < topic.nextSubscribeAt && !isOverdue || timing.lowTraffic() && topic.version == 0) return;
        var source = isOverdue ? null : subscriptionSource(name);
        if (source == null || source.name.equals(directory.self().name)) source = coreClient.leader(Parts.of(name));
        if (isOverdue) topic.lastPullAt = now;
        if (source == null) return;
        topic.nextSubscribeAt = now + timing.subscribe();
        var request = new Subscribe();
        request.from = directory.self();
        request.topic = name;
        request.have = topic.version;
        port.send(source.peerAddress, request);
    }

    private Node subscriptionSource(String topic) {
        if (!directory.self().isRouter()) return null;
        var candidates = new TreeMap<String, Node>();
        candidates.put(directory.self().name, directory.self());
        for (var member : membersOfPart.apply(Parts.of(topic)))
            if (member.isRouter() && member.serving && member.zone.equals(directory.self().zone))
                candidates.put(member.name, member);
        return candidates.get(Rendezvous.pick(topic, candidates.keySet()));
    }

    /** Takes in a subscriber and sends it what it lacks. */
    void addSubscriber(Subscribe request, long now) {
        var topic = topics.get(request.topic);
        if (topic == null || request.from == null) return;
        topic.subscribedAtByAddress.put(request.from.peerAddress, now);
        if (topic.body != null && topic.version > request.have)
            port.send(request.from.peerAddress, newNews(request.topic, topic));
    }

    private static News newNews(String name, Topic topic) {
        var news = new News();
        news.topic = name;
        news.version = topic.version;
        news.body = topic.body;
        return news;
    }

    /** Takes news, if they are newer, and passes them on; whether they were. */
    boolean accept(News news) {
        var topic = topics.get(news.topic);
        if (topic == null && timing.lowTraffic() && manifest == null)
            newsBeforeManifest.merge(news.topic, news, (a, b) -> a.version < b.version ? b : a);
        if (topic == null || news.version <= topic.version) return false;
        if (news.topic.equals(Parts.MANIFEST_TOPIC)) acceptManifest(Codec.read(Rows.Manifest.class, news.body));
        else acceptService(Codec.read(Rows.Service.class, news.body));
        topic.version = news.version;
        topic.newestVersion = Math.max(topic.newestVersion, news.version);
        topic.body = news.body;
        if (topic.version >= topic.newestVersion) topic.behindSince = 0;
        topic.subscribedAtByAddress.keySet().forEach(a -> port.send(a, newNews(news.topic, topic)));
        return true;
    }

    /** News of services that came before the manifest that names them; empty until it is there. */
    List<News> takeDeferredNews() {
        if (manifest == null || newsBeforeManifest.isEmpty()) return List.of();
        var deferred = List.copyOf(newsBeforeManifest.values());
        newsBeforeManifest.clear();
        return deferred;
    }

    private void acceptManifest(Rows.Manifest row) {
        manifestTopic = row;
        if (row.text.isEmpty()) return;
        manifest = ManifestReader.readChecked(row.text)
                .getOrElseThrow(problem -> new IllegalStateException(problem.detail()));
        directory.grace(manifest.lapsedGrace());
        port.note(Event.MANIFEST_TAKEN, "version " + row.version + " marks " + row.marks);
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
            port.note(Event.TABLE_TAKEN, service.name + " version " + service.tableVersion);
    }
}
