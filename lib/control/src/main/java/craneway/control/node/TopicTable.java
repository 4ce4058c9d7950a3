package craneway.control.node;

import craneway.model.event.Event;
import craneway.model.manifest.Manifest;
import craneway.model.manifest.ManifestReader;
import craneway.model.unit.Parts;
import craneway.model.unit.RendezvousHash;
import craneway.model.unit.TimingProfile;
import craneway.state.message.Codec;
import craneway.state.message.Messages.TopicUpdate;
import craneway.state.message.Messages.Subscription;
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
    private static final long IMPATIENT = 300_000;
    private static final long TIMEOUT = 1_000_000;
    private static final long SUBSCRIBED = 2_000_000;

    private static final class Topic {
        long version;
        byte[] body;
        long newest;
        long behindSince;
        long due;
        long pulled;
        final Map<String, Long> subscribers = new HashMap<>();
    }

    private final Port port;
    private final NodeDirectory directory;
    private final CoreClient coreClient;
    private final TimingProfile timing;
    private final IntFunction<List<Node>> members;
    private final Map<String, Topic> topics = new TreeMap<>();
    private final Map<String, Rows.Service> services = new TreeMap<>();
    private final Map<String, TopicUpdate> early = new HashMap<>();
    private Map<String, Rows.Service> servicesNow;
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
        this.members = members;
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
        if (servicesNow == null) servicesNow = Map.copyOf(services);
        return servicesNow;
    }

    /** Forgets which versions another core had told, and keeps what they said until the new ones come. */
    void forget() {
        topics.values().forEach(t -> {
            t.version = t.newest = t.behindSince = 0;
            t.body = null;
        });
    }

    /** Whether every topic has been told in the newest version known, a manifest among them. */
    boolean current() {
        return manifest != null && topics.values().stream().noneMatch(t -> t.version == 0 || t.version < t.newest);
    }

    /** Whether some topic of a part has never been told. */
    boolean untold(int part) {
        return topics.entrySet().stream().anyMatch(e -> Parts.partOf(e.getKey()) == part && e.getValue().version == 0);
    }

    /** Tells the versions of a part's topics. */
    void versions(int part, ObjLongConsumer<String> to) {
        topics.forEach((n, t) -> {
            if (Parts.partOf(n) == part) to.accept(n, t.version);
        });
    }

    /** Whether a part's topics are too far behind for its lease to be taken, or kept where it is held. */
    boolean tooFarBehind(int part, boolean held, long now) {
        return topics.entrySet().stream()
                .filter(e -> Parts.partOf(e.getKey()) == part)
                .map(Map.Entry::getValue)
                .anyMatch(t -> t.behindSince != 0 && (!held || now - t.behindSince > TIMEOUT));
    }

    /** Hears that a topic has reached a version. */
    void heard(String topic, long version, long now) {
        var t = topics.get(topic);
        if (t == null) return;
        t.newest = Math.max(t.newest, version);
        if (t.newest > t.version && t.behindSince == 0) t.behindSince = now;
    }

    /** Asks for every topic that is due. */
    void follow(long now) {
        topics.forEach((n, t) -> follow(n, t, now));
    }

    private void follow(String name, Topic t, long now) {
        t.subscribers.values().removeIf(at -> now - at > SUBSCRIBED);
        var late = t.behindSince != 0 && now - t.behindSince > IMPATIENT && now - t.pulled > IMPATIENT;
        if (now < t.due && !late || timing.lowTraffic() && t.version == 0) return;
        var home = late ? null : homeOf(name);
        if (home == null || home.name.equals(directory.self().name)) home = coreClient.leader(Parts.partOf(name));
        if (late) t.pulled = now;
        if (home == null) return;
        t.due = now + timing.subscriptionRenewalInterval();
        var s = new Subscription();
        s.from = directory.self();
        s.topic = name;
        s.knownVersion = t.version;
        port.send(home.peerAddress, s);
    }

    private Node homeOf(String topic) {
        if (!directory.self().isRouter()) return null;
        var mine = new TreeMap<String, Node>();
        mine.put(directory.self().name, directory.self());
        for (var n : members.apply(Parts.partOf(topic)))
            if (n.isRouter() && n.serving && n.zone.equals(directory.self().zone)) mine.put(n.name, n);
        return mine.get(RendezvousHash.pick(topic, mine.keySet()));
    }

    /** Takes in a subscriber and sends it what it lacks. */
    void subscribe(Subscription s, long now) {
        var t = topics.get(s.topic);
        if (t == null || s.from == null) return;
        t.subscribers.put(s.from.peerAddress, now);
        if (t.body != null && t.version > s.knownVersion) port.send(s.from.peerAddress, news(s.topic, t));
    }

    private static TopicUpdate news(String name, Topic t) {
        var n = new TopicUpdate();
        n.topic = name;
        n.version = t.version;
        n.body = t.body;
        return n;
    }

    /** Takes news, if they are newer, and passes them on; whether they were. */
    boolean take(TopicUpdate n) {
        var t = topics.get(n.topic);
        if (t == null && timing.lowTraffic() && manifest == null)
            early.merge(n.topic, n, (a, b) -> a.version < b.version ? b : a);
        if (t == null || n.version <= t.version) return false;
        if (n.topic.equals(Parts.MANIFEST_TOPIC)) takeManifest(Codec.decode(Rows.Manifest.class, n.body));
        else takeService(Codec.decode(Rows.Service.class, n.body));
        t.version = n.version;
        t.newest = Math.max(t.newest, n.version);
        t.body = n.body;
        if (t.version >= t.newest) t.behindSince = 0;
        t.subscribers.keySet().forEach(a -> port.send(a, news(n.topic, t)));
        return true;
    }

    /** News of services that came before the manifest that names them; empty until it is there. */
    List<TopicUpdate> waiting() {
        if (manifest == null || early.isEmpty()) return List.of();
        var waiting = List.copyOf(early.values());
        early.clear();
        return waiting;
    }

    private void takeManifest(Rows.Manifest m) {
        manifestTopic = m;
        if (m.text.isEmpty()) return;
        manifest = ManifestReader.readValidated(m.text).getOrElseThrow(p -> new IllegalStateException(p.detail()));
        directory.setGraceMicros(manifest.lapsedLeaseGrace());
        port.logEvent(Event.MANIFEST_APPLIED, "version " + m.version + " marks " + m.marks);
        for (var s : manifest.services().keySet()) topics.computeIfAbsent(s, k -> new Topic());
        topics.keySet()
                .removeIf(k ->
                        !k.equals(Parts.MANIFEST_TOPIC) && !manifest.services().containsKey(k));
        services.keySet().removeIf(k -> !manifest.services().containsKey(k));
        servicesNow = null;
    }

    private void takeService(Rows.Service s) {
        var old = services.put(s.name, s);
        servicesNow = null;
        if (old == null || old.tableVersion != s.tableVersion)
            port.logEvent(Event.TABLE_APPLIED, s.name + " version " + s.tableVersion);
    }
}
