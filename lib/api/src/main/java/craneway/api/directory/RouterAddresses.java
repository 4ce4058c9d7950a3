package craneway.api.directory;

import craneway.control.store.Store;
import craneway.model.unit.Parts;
import craneway.state.message.Node;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** The routers that a store knows to be serving. */
public final class RouterAddresses {
    private static final int MOST = 64;

    private final Store store;
    private final Map<String, String> zones;

    public RouterAddresses(Store store, Map<String, String> zones) {
        this.store = store;
        this.zones = zones;
    }

    /** At most 64 requester addresses: of the zone; if it has none, of its region; else of all. */
    public List<String> nearestTo(String zone, String region) {
        var all = serving();
        var r = zones.getOrDefault(zone, region);
        var near = of(all, n -> n.zone.equals(zone));
        if (near.isEmpty()) near = of(all, n -> zones.getOrDefault(n.zone, "").equals(r));
        if (near.isEmpty()) near = of(all, n -> true);
        Collections.shuffle(near);
        return near.subList(0, Math.min(MOST, near.size()));
    }

    private static List<String> of(List<Node> all, Predicate<Node> which) {
        return new ArrayList<>(
                all.stream().filter(which).map(n -> n.clientAddress).distinct().toList());
    }

    private List<Node> serving() {
        return store.membership().view().membersByPart().get(Parts.MANIFEST_PART).stream()
                .filter(n -> n.isRouter() && n.serving && !n.clientAddress.isEmpty() && !stopping(n))
                .toList();
    }

    private boolean stopping(Node n) {
        var heard = store.directory().nodeByName(n.name);
        return heard != null && heard.incarnation >= n.incarnation && !heard.serving;
    }
}
