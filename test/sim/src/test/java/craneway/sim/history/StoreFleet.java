package craneway.sim.history;

import craneway.control.store.CoreSettings;
import craneway.control.store.Quorum;
import craneway.control.store.StoreOptions;
import craneway.model.event.Event;
import craneway.model.unit.Parts;
import craneway.model.unit.TimingProfile;
import craneway.sim.Simulation;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executor;

/** Three stores, or six of which five vote, one in each zone, assembled as the platform's process does. */
final class StoreFleet {
    private static final Map<String, String> REGIONS =
            Map.of("z1", "a", "z2", "b", "z3", "c", "z4", "a", "z5", "b", "z6", "c");
    private static final long DARK_AFTER_MICROS = 3_000_000;
    private static final long FORGOTTEN_AFTER_MICROS = 60_000_000;
    private static final int CORE_STORE_COUNT = 3;
    private static final int MAX_NOTES = 40_000;

    final Simulation sim;
    final StoreNetwork net;
    final List<String> notes = new ArrayList<>();
    private final Map<String, StoreNode> nodes = new TreeMap<>();
    private final Map<String, StoreNode> replaced = new TreeMap<>();
    private final Map<Event, Integer> countByEvent = new EnumMap<>(Event.class);
    private final int toleratedLosses;
    private int createdStores;

    StoreFleet(long seed, int stores) {
        sim = new Simulation(seed);
        net = new StoreNetwork(this);
        toleratedLosses = stores > CORE_STORE_COUNT ? 2 : 1;
        createdStores = stores;
        for (var i = 1; i <= stores; i++) nodes.put("s" + i, new StoreNode(this, "s" + i, "z" + i));
        nodes.values().forEach(node -> node.start(true));
    }

    /** How many machines may be lost at once. */
    int maxLosses() {
        return toleratedLosses;
    }

    /**
     * The addresses that a starting process is given: at the first start the same three stores, later three that serve
     * then.
     */
    List<String> seedAddresses(boolean first) {
        return first
                ? List.of("s1", "s2", "s3")
                : nodes.keySet().stream().limit(CORE_STORE_COUNT).toList();
    }

    /**
     * Creates another machine in the same zone without starting it. The old one is no longer listed, and runs until it
     * is ended.
     */
    StoreNode replace(StoreNode old) {
        var replacement = new StoreNode(this, "s" + ++createdStores, old.zone);
        nodes.remove(old.name);
        replaced.put(old.name, old);
        nodes.put(replacement.name, replacement);
        return replacement;
    }

    /** The options of a store, whose disk work runs on the given executor. */
    StoreOptions storeOptions(boolean first, Executor disk) {
        var settings = new CoreSettings(CORE_STORE_COUNT, true, first, DARK_AFTER_MICROS, FORGOTTEN_AFTER_MICROS);
        return new StoreOptions(
                settings, Quorum.toleratingLosses(toleratedLosses, REGIONS), TimingProfile.LOW_TRAFFIC, part -> disk);
    }

    String regionOf(String zone) {
        return REGIONS.get(zone);
    }

    /** The machine with a name, which is its address too; null if there never was one. */
    StoreNode node(String name) {
        var node = nodes.get(name);
        return node == null ? replaced.get(name) : node;
    }

    List<StoreNode> nodes() {
        return List.copyOf(nodes.values());
    }

    /** The leader of the part that holds configuration and zones, or null. */
    StoreNode leader() {
        StoreNode leader = null;
        for (var node : nodes.values())
            if (isLeader(node) && (leader == null || term(node) > term(leader))) leader = node;
        return leader;
    }

    private boolean isLeader(StoreNode node) {
        var replicas = node.isRunning() ? node.store().replicas() : null;
        return replicas != null
                && replicas.length > 0
                && replicas[Parts.MANIFEST_PART].group().hasLease(sim.now());
    }

    private static long term(StoreNode node) {
        return node.store().replicas()[Parts.MANIFEST_PART].group().term();
    }

    /** Runs the simulation for the given time. */
    void run(long micros) {
        sim.runUntil(sim.now() + micros);
    }

    void note(String source, Event event, String detail) {
        countByEvent.merge(event, 1, Integer::sum);
        note(source, event + " " + detail);
    }

    /** How often the event was logged. */
    int countOf(Event event) {
        return countByEvent.getOrDefault(event, 0);
    }

    /** Adds a note to the log of the run, up to a maximum number. */
    void note(String source, String text) {
        if (notes.size() < MAX_NOTES)
            notes.add(String.format(Locale.ROOT, "%.6f %s %s", sim.now() / 1e6, source, text));
    }
}
