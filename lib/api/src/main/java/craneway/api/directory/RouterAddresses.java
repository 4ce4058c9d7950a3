package craneway.api.directory;

import craneway.control.store.Store;
import craneway.model.unit.Parts;
import craneway.state.message.Node;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/** The addresses of the routers that a store knows to be serving. */
public final class RouterAddresses {
    /** The most addresses in one response. */
    private static final int MAX_ADDRESSES = 64;

    private final Store store;
    private final Map<String, String> regionByZone;

    /** Creates the list for the routers that this store knows; the map holds the region of each zone. */
    public RouterAddresses(Store store, Map<String, String> regionByZone) {
        this.store = store;
        this.regionByZone = regionByZone;
    }

    /**
     * Returns the client addresses of at most 64 routers in random order: those in the zone, else those in its region,
     * else all.
     *
     * @param region is used only if the zone is unknown
     */
    public List<String> nearestTo(String zone, String region) {
        var serving = serving();
        var searchedRegion = regionByZone.getOrDefault(zone, region);
        var addresses = select(serving, n -> n.zone.equals(zone));
        if (addresses.isEmpty())
            addresses =
                    select(serving, n -> regionByZone.getOrDefault(n.zone, "").equals(searchedRegion));
        if (addresses.isEmpty()) addresses = select(serving, n -> true);
        Collections.shuffle(addresses);
        return addresses.subList(0, Math.min(MAX_ADDRESSES, addresses.size()));
    }

    private static List<String> select(List<Node> routers, Predicate<Node> filter) {
        return new ArrayList<>(routers.stream()
                .filter(filter)
                .map(n -> n.clientAddress)
                .distinct()
                .toList());
    }

    private List<Node> serving() {
        return store.membership().view().membersByPart().get(Parts.MANIFEST_PART).stream()
                .filter(n -> n.isRouter() && n.serving && !n.clientAddress.isEmpty() && !isStopping(n))
                .toList();
    }

    /** Returns whether the router's own messages say that it no longer serves, although its membership still does. */
    private boolean isStopping(Node member) {
        var announced = store.directory().nodeByName(member.name);
        return announced != null && announced.incarnation >= member.incarnation && !announced.serving;
    }
}
