package craneway.sim;

import craneway.model.manifest.ManifestReader;
import craneway.state.message.Node;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;

public record FleetShape(String name, String manifest, int[] routersPerZone, int slotsPerRunner, long diskDelayMicros) {
    public static final FleetShape SMALL = new FleetShape("small", text("maticar"), new int[] {2, 2, 2}, 8, 0),
            MATICAR = new FleetShape("maticar", text("maticar-shape"), new int[] {3, 2, 2}, 6, 0),
            BRANNOCK = new FleetShape("brannock", text("brannock-shape"), new int[] {3, 3, 3}, 6, 12_000);

    public static FleetShape byName(String name) {
        for (var s : List.of(SMALL, MATICAR, BRANNOCK)) if (s.name.equals(name)) return s;
        return null;
    }

    private static String text(String name) {
        try (var in = FleetShape.class.getResourceAsStream("/craneway/sim/" + name + ".json")) {
            return new String(in.readAllBytes());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    public Scenario createScenario(long seed) {
        return createScenario(seed, Node.WIRE_VERSION);
    }

    public Scenario createScenario(long seed, int wire) {
        var s = new Scenario(seed, manifest, routersPerZone, slotsPerRunner, wire);
        for (var m : s.world.machinesOfType(StoreMachine.class)) m.setDiskDelay(diskDelayMicros);
        return s;
    }

    List<String> zoneNames() {
        return List.copyOf(ManifestReader.read(manifest).get().zones().keySet());
    }

    String runnerName(int zone, int n) {
        var s = ManifestReader.read(manifest)
                .get()
                .services()
                .values()
                .iterator()
                .next();
        var c = s.cells().get(zone);
        return "runner-" + c.name() + "-" + (1 + n % c.weight());
    }
}
