package craneway.sim;

import craneway.model.manifest.ManifestReader;
import craneway.state.message.Node;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;

public record Shape(String name, String manifest, int[] routers, int slots, long slowSync) {
    public static final Shape SMALL = new Shape("small", text("maticar"), new int[] {2, 2, 2}, 8, 0),
            MATICAR = new Shape("maticar", text("maticar-shape"), new int[] {3, 2, 2}, 6, 0),
            BRANNOCK = new Shape("brannock", text("brannock-shape"), new int[] {3, 3, 3}, 6, 12_000);

    public static Shape named(String name) {
        for (var s : List.of(SMALL, MATICAR, BRANNOCK)) if (s.name.equals(name)) return s;
        return null;
    }

    private static String text(String name) {
        try (var in = Shape.class.getResourceAsStream("/craneway/sim/" + name + ".json")) {
            return new String(in.readAllBytes());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    public Scenario scenario(long seed) {
        return scenario(seed, Node.WIRE_VERSION);
    }

    public Scenario scenario(long seed, int wire) {
        var s = new Scenario(seed, manifest, routers, slots, wire);
        for (var m : s.world.all(StoreMachine.class)) m.slow(slowSync);
        return s;
    }

    List<String> zones() {
        return List.copyOf(ManifestReader.read(manifest).get().zones().keySet());
    }

    String runner(int zone, int n) {
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
