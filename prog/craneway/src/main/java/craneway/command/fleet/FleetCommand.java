package craneway.command.fleet;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import craneway.command.CommandException;
import craneway.model.manifest.Manifest;
import craneway.model.manifest.ManifestReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(
        name = "fleet",
        description =
                "Writes the startup files and scripts of a whole fleet on this machine; the scripts start it, no daemon does.")
public final class FleetCommand implements Callable<Integer> {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String HOST = "127.0.0.1";

    @Parameters(paramLabel = "MANIFEST")
    Path manifest;

    @Option(names = "--folder", required = true, description = "an empty or new folder")
    Path folder;

    @Option(names = "--first-port", defaultValue = "21000", description = "0: any free ports")
    int port;

    @Option(
            names = "--routers",
            split = ",",
            defaultValue = "2,2,2",
            description = "routers for each zone, in the manifest's order")
    List<Integer> routers;

    @Option(
            names = "--runners",
            split = ",",
            defaultValue = "2,2,2",
            description = "stand-in runners for each cell of the first service")
    List<Integer> runners;

    @Option(names = "--slots", defaultValue = "16")
    int slots;

    private final List<ServerSocket> held = new ArrayList<>();
    private final List<String> start = new ArrayList<>();
    private final List<String> seeds = new ArrayList<>();
    private final ObjectNode map = JSON.createObjectNode();

    @Override
    public Integer call() throws IOException {
        var text = Files.readString(manifest);
        var m = ManifestReader.read(text).getOrElseThrow(p -> new CommandException(3, "not valid: " + p.detail()));
        var zones = List.copyOf(m.zones().keySet());
        var service = m.services().values().iterator().next();
        if (routers.size() != zones.size())
            throw new CommandException(2, "--routers needs " + zones.size() + " numbers, one for each zone");
        if (runners.size() != service.cells().size())
            throw new CommandException(2, "--runners needs " + service.cells().size() + " numbers, one for each cell");
        if (zones.size() < 3) throw new CommandException(2, "a fleet needs three zones for its three stores");
        if (Files.exists(folder) && Files.list(folder).findAny().isPresent())
            throw new CommandException(2, folder + " is not empty");
        for (var d : List.of("startup", "data", "log", "pid", "journal")) Files.createDirectories(folder.resolve(d));
        Files.writeString(folder.resolve("manifest.json"), text);
        for (var i = 0; i < 3; i++) seeds.add(next());
        for (var i = 0; i < 3; i++) store("store-" + zones.get(i), zones.get(i), seeds.get(i));
        for (var z = 0; z < zones.size(); z++)
            for (var i = 1; i <= routers.get(z); i++) router("router-" + zones.get(z) + "-" + i, zones.get(z));
        for (var c = 0; c < service.cells().size(); c++)
            for (var i = 1; i <= runners.get(c); i++)
                runner(service, service.cells().get(c), i);
        Files.writeString(folder.resolve("fleet.json"), map.toPrettyString() + "\n");
        script("up.sh", String.join("\n", start) + "\n");
        script(
                "down.sh",
                "for f in pid/*; do kill \"$(cat \"$f\")\" 2>/dev/null; done\nfor f in pid/*; do while kill -0 \"$(cat \"$f\")\" 2>/dev/null; do sleep 0.1; done; rm -f \"$f\"; done\n");
        for (var h : held) h.close();
        System.out.println(folder + ": 3 stores, " + map.get("routers").size() + " routers, "
                + map.get("runners").size() + " runners; start with up.sh, end with down.sh");
        return 0;
    }

    private String next() throws IOException {
        if (port != 0) return HOST + ":" + port++;
        var s = new ServerSocket(0, 1, InetAddress.getByName(HOST));
        held.add(s);
        return HOST + ":" + s.getLocalPort();
    }

    private void store(String name, String zone, String partner) throws IOException {
        var n = common(name, zone, partner);
        n.put("data", folder.toAbsolutePath().resolve("data").resolve(name).toString())
                .put("stores", 3);
        write(name, n);
        map.withObject("/stores").set(name, n);
        launch(name, "store", "--startup startup/" + name + ".json");
    }

    private void router(String name, String zone) throws IOException {
        var n = common(name, zone, next());
        n.put("requester", next()).put("runner", next());
        write(name, n);
        map.withObject("/routers").set(name, n);
        launch(name, "router", "--startup startup/" + name + ".json");
    }

    private ObjectNode common(String name, String zone, String partner) throws IOException {
        var n = JSON.createObjectNode();
        n.put("name", name)
                .put("zone", zone)
                .put("partner", partner)
                .put("operator", next())
                .put("platform", next());
        var s = n.putArray("seeds");
        seeds.forEach(s::add);
        return n;
    }

    private void write(String name, ObjectNode n) throws IOException {
        Files.writeString(folder.resolve("startup").resolve(name + ".json"), n.toPrettyString() + "\n");
    }

    private void runner(Manifest.Service s, Manifest.Cell c, int i) throws IOException {
        var name = "runner-" + c.name() + "-" + i;
        var address = next();
        var to = new ArrayList<String>();
        map.get("routers").forEach(r -> {
            if (r.get("zone").asText().equals(c.zone())) to.add(r.get("runner").asText());
        });
        map.withObject("/runners")
                .putObject(name)
                .put("address", address)
                .put("cell", c.name())
                .put("zone", c.zone())
                .put("service", s.name())
                .put("routers", String.join(",", to))
                .put("slots", slots);
        launch(
                name,
                "standin",
                "runner --name " + name + " --listen " + address + " --routers " + String.join(",", to) + " --service "
                        + s.name() + " --cell " + c.name() + " --slots " + slots + " --journal journal/" + name
                        + ".jsonl");
    }

    private void launch(String name, String program, String rest) {
        start.add("nohup \"$CRANEWAY/" + program + "\" " + rest + " > log/" + name + ".log 2>&1 &\necho $! > pid/"
                + name);
    }

    private void script(String name, String body) throws IOException {
        var f = folder.resolve(name);
        Files.writeString(
                f,
                "#!/bin/sh\n# CRANEWAY is the folder that holds the programs router, store and standin.\ncd \"$(dirname \"$0\")\" || exit 1\n"
                        + (name.equals("up.sh") ? ": \"${CRANEWAY:?set it to the folder of the programs}\"\n" : "")
                        + body);
        f.toFile().setExecutable(true);
    }
}
