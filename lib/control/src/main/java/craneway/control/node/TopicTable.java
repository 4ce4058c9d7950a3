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
        topics.values().forEach(t -> {
            t.version = t.newestVersion = t.behindSince = 0;
            t.body = null;
        });
    }

    /** Whether every topic has been told in the newest version known, a manifest among them. */
    boolean isCurrent() {
        return manifest != null
                && topics.values().stream().noneMatch(t -> t.version == 0 || t.version < t.newestVersion);
    }

    /** Whether some topic of a part has never been told. */
    boolean hasUnknownTopic(int part) {
        return topics.entrySet().stream().anyMatch(e -> Parts.of(e.getKey()) == part && e.getValue().version == 0);
    }

    /** Tells the versions of a part's topics. */
    void forEachVersion(int part, ObjLongConsumer<String> to) {
        topics.forEach((n, t) -> {
            if (Parts.of(n) == part) to.accept(n, t.version);
        });
    }

    /** Whether a part's topics are too far behind for its lease to be taken, or kept where it is held. */
    boolean isTooFarBehind(int part, boolean held, long now) {
        return topics.entrySet().stream()
                .filter(e -> Parts.of(e.getKey()) == part)
                .map(Map.Entry::getValue)
                .anyMatch(t -> t.behindSince != 0 && (!held || now - t.behindSince > MAX_BEHIND_MICROS));
    }

    /** Hears that a topic has reached a version. */
    void recordAdvertisedVersion(String topic, long version, long now) {
        var t = topics.get(topic);
        if (t == null) return;
        t.newestVersion = Math.max(t.newestVersion, version);
        if (t.newestVersion > t.version && t.behindSince == 0) t.behindSince = now;
    }

    /** Asks for every topic that is due. */
    void renewSubscriptions(long now) {
        topics.forEach((n, t) -> renewSubscriptions(n, t, now));
    }

    private void renewSubscriptions(String name, Topic t, long now) {
        t.subscribedAtByAddress.values().removeIf(at -> now - at > SUBSCRIPTION_TTL_MICROS);
        var late = t.behindSince != 0
                && now - t.behindSince > PULL_FROM_LEADER_AFTER_MICROS
                && now - t.lastPullAt > PULL_FROM_LEADER_AFTER_MICROS;
        if (now < t.nextSubscribeAt && !late || timing.lowTraffic() && t.version == 0) return;
        var home = late ? null : subscriptionSource(name);
        if (home == null || home.name.equals(directory.self().name)) home = coreClient.leader(Parts.of(name));
        if (late) t.lastPullAt = now;
        if (home == null) return;
        t.nextSubscribeAt = now + timing.subscribe();
        var s = new Subscribe();
        s.from = directory.self();
        s.topic = name;
        s.have = t.version;
        port.send(home.peerAddress, s);
    }

    private Node subscriptionSource(String topic) {
        if (!directory.self().isRouter()) return null;
        var mine = new TreeMap<String, Node>();
        mine.put(directory.self().name, directory.self());
        for (var n : membersOfPart.apply(Parts.of(topic)))
            if (n.isRouter() && n.serving && n.zone.equals(directory.self().zone)) mine.put(n.name, n);
        return mine.get(Rendezvous.pick(topic, mine.keySet()));
    }

    /** Takes in a subscriber and sends it what it lacks. */
    void addSubscriber(Subscribe s, long now) {
        var t = topics.get(s.topic);
        if (t == null || s.from == null) return;
        t.subscribedAtByAddress.put(s.from.peerAddress, now);
        if (t.body != null && t.version > s.have) port.send(s.from.peerAddress, newNews(s.topic, t));
    }

    private static News newNews(String name, Topic t) {
        var n = new News();
        n.topic = name;
        n.version = t.version;
        n.body = t.body;
        return n;
    }

    /** Takes news, if they are newer, and passes them on; whether they were. */
    boolean accept(News n) {
        var t = topics.get(n.topic);
        if (t == null && timing.lowTraffic() && manifest == null)
            newsBeforeManifest.merge(n.topic, n, (a, b) -> a.version < b.version ? b : a);
        if (t == null || n.version <= t.version) return false;
        if (n.topic.equals(Parts.MANIFEST_TOPIC)) acceptManifest(Codec.read(Rows.Manifest.class, n.body));
        else acceptService(Codec.read(Rows.Service.class, n.body));
        t.version = n.version;
        t.newestVersion = Math.max(t.newestVersion, n.version);
        t.body = n.body;
        if (t.version >= t.newestVersion) t.behindSince = 0;
        t.subscribedAtByAddress.keySet().forEach(a -> port.send(a, newNews(n.topic, t)));
        return true;
    }

    /** News of services that came before the manifest that names them; empty until it is there. */
    List<News> takeDeferredNews() {
        if (manifest == null || newsBeforeManifest.isEmpty()) return List.of();
        var waiting = List.copyOf(newsBeforeManifest.values());
        newsBeforeManifest.clear();
        return waiting;
    }

    private void acceptManifest(Rows.Manifest m) {
        manifestTopic = m;
        if (m.text.isEmpty()) return;
        manifest = ManifestReader.readChecked(m.text).getOrElseThrow(p -> new IllegalStateException(p.detail()));
        directory.grace(manifest.lapsedGrace());
        port.note(Event.MANIFEST_TAKEN, "version " + m.version + " marks " + m.marks);
        for (var s : manifest.services().keySet()) topics.computeIfAbsent(s, k -> new Topic());
        topics.keySet()
                .removeIf(k ->
                        !k.equals(Parts.MANIFEST_TOPIC) && !manifest.services().containsKey(k));
        services.keySet().removeIf(k -> !manifest.services().containsKey(k));
        servicesSnapshot = null;
    }

    private void acceptService(Rows.Service s) {
        var old = services.put(s.name, s);
        servicesSnapshot = null;
        if (old == null || old.tableVersion != s.tableVersion)
            port.note(Event.TABLE_TAKEN, s.name + " version " + s.tableVersion);
    }
}
