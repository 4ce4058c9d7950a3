package craneway.sim;

import craneway.model.manifest.ManifestReader;
import craneway.state.message.Node;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;

/**
 * The size of a simulated fleet: its name in the replay command, the text of its manifest, the number of routers in
 * each zone, the number of slots of each runner, and the time in microseconds that a store's disk adds to each message
 * of the replicated parts.
 */
public record FleetShape(String name, String manifest, int[] routersPerZone, int slotsPerRunner, long diskDelayMicros) {
    /** A small fleet with two routers in each zone. */
    public static final FleetShape SMALL = new FleetShape("small", readManifest("maticar"), new int[] {2, 2, 2}, 8, 0);

    /** The shape of the deployment of the same name. */
    public static final FleetShape MATICAR =
            new FleetShape("maticar", readManifest("maticar-shape"), new int[] {3, 2, 2}, 6, 0);

    /**
     * The shape of the deployment of the same name. A store's disk delays each message of the replicated parts by 12
     * ms.
     */
    public static final FleetShape BRANNOCK =
            new FleetShape("brannock", readManifest("brannock-shape"), new int[] {3, 3, 3}, 6, 12_000);

    /** The shape with the given name, or null. */
    public static FleetShape byName(String name) {
        for (var shape : List.of(SMALL, MATICAR, BRANNOCK)) if (shape.name.equals(name)) return shape;
        return null;
    }

    private static String readManifest(String name) {
        try (var in = FleetShape.class.getResourceAsStream("/craneway/sim/" + name + ".json")) {
            return new String(in.readAllBytes());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Bootstraps a fleet of this shape whose nodes speak the current wire version. */
    public Scenario createScenario(long seed) {
        return createScenario(seed, Node.WIRE_VERSION);
    }

    /** Bootstraps a fleet of this shape whose nodes speak the given wire version. */
    public Scenario createScenario(long seed, int wireVersion) {
        var scenario = new Scenario(seed, manifest, routersPerZone, slotsPerRunner, wireVersion);
        for (var store : scenario.world.machinesOfType(StoreMachine.class)) store.setDiskDelay(diskDelayMicros);
        return scenario;
    }

    /** The names of the zones. */
    List<String> zoneNames() {
        return List.copyOf(ManifestReader.read(manifest).get().zones().keySet());
    }

    /**
     * The name of a runner in a zone's cell of the first service; {@code runnerIndex} is taken modulo the number of
     * runners.
     */
    String runnerName(int zoneIndex, int runnerIndex) {
        var service = ManifestReader.read(manifest)
                .get()
                .services()
                .values()
                .iterator()
                .next();
        var cell = service.cells().get(zoneIndex);
        return "runner-" + cell.name() + "-" + (1 + runnerIndex % cell.weight());
    }
}
