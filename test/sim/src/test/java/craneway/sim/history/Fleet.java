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

/** Three stores, or six of which five vote, one in each zone, put together as the platform's process does. */
final class Fleet {
    private static final Map<String, String> REGIONS =
            Map.of("z1", "a", "z2", "b", "z3", "c", "z4", "a", "z5", "b", "z6", "c");
    private static final long DARK = 3_000_000;
    private static final long FORGOTTEN = 60_000_000;
    private static final int SEEDS = 3;
    private static final int MOST_NOTES = 40_000;

    final Simulation sim;
    final StoreNet net;
    final List<String> notes = new ArrayList<>();
    private final Map<String, StoreNode> nodes = new TreeMap<>();
    private final Map<String, StoreNode> leaving = new TreeMap<>();
    private final Map<Event, Integer> events = new EnumMap<>(Event.class);
    private final int losses;
    private int named;

    Fleet(long seed, int stores) {
        sim = new Simulation(seed);
        net = new StoreNet(this);
        losses = stores > SEEDS ? 2 : 1;
        named = stores;
        for (var i = 1; i <= stores; i++) nodes.put("s" + i, new StoreNode(this, "s" + i, "z" + i));
        nodes.values().forEach(n -> n.start(true));
    }

    /** How many machines may be lost at once. */
    int losses() {
        return losses;
    }

    /** What a process is told of others: at the first start the same three, later three that serve then. */
    List<String> seeds(boolean first) {
        return first
                ? List.of("s1", "s2", "s3")
                : nodes.keySet().stream().limit(SEEDS).toList();
    }

    /** Another machine in the same zone, not started yet. The old one stands in no list any more, and runs until it is ended. */
    StoreNode replace(StoreNode old) {
        var by = new StoreNode(this, "s" + ++named, old.zone);
        nodes.remove(old.name);
        leaving.put(old.name, old);
        nodes.put(by.name, by);
        return by;
    }

    StoreOptions rules(boolean first, Executor disk) {
        var settings = new CoreSettings(SEEDS, true, first, DARK, FORGOTTEN);
        return new StoreOptions(
                settings, Quorum.toleratingLosses(losses, REGIONS), TimingProfile.LOW_TRAFFIC, p -> disk);
    }

    String region(String zone) {
        return REGIONS.get(zone);
    }

    /** By its name, which is its address too; null if none was ever there. */
    StoreNode node(String name) {
        var n = nodes.get(name);
        return n == null ? leaving.get(name) : n;
    }

    List<StoreNode> nodes() {
        return List.copyOf(nodes.values());
    }

    /** The leader of the part that holds configuration and zones, or null. */
    StoreNode leader() {
        StoreNode best = null;
        for (var n : nodes.values()) if (leads(n) && (best == null || term(n) > term(best))) best = n;
        return best;
    }

    private boolean leads(StoreNode n) {
        var k = n.up() ? n.store().replicas() : null;
        return k != null && k.length > 0 && k[Parts.MANIFEST_PART].group().hasLease(sim.now());
    }

    private static long term(StoreNode n) {
        return n.store().replicas()[Parts.MANIFEST_PART].group().term();
    }

    void run(long micros) {
        sim.runUntil(sim.now() + micros);
    }

    void note(String who, Event e, String detail) {
        events.merge(e, 1, Integer::sum);
        note(who, e + " " + detail);
    }

    /** How often it came. */
    int count(Event e) {
        return events.getOrDefault(e, 0);
    }

    void note(String who, String what) {
        if (notes.size() < MOST_NOTES) notes.add(String.format(Locale.ROOT, "%.6f %s %s", sim.now() / 1e6, who, what));
    }
}
