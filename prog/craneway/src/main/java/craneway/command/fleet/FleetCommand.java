package craneway.command.fleet;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import craneway.command.CommandFailure;
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
    private static final String LOOPBACK_HOST = "127.0.0.1";

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

    private final List<ServerSocket> reservedPorts = new ArrayList<>();
    private final List<String> startCommands = new ArrayList<>();
    private final List<String> seedAddresses = new ArrayList<>();
    private final ObjectNode fleetJson = JSON.createObjectNode();

    @Override
    public Integer call() throws IOException {
        var text = Files.readString(manifest);
        var m = ManifestReader.read(text).getOrElseThrow(p -> new CommandFailure(3, "not valid: " + p.detail()));
        var zones = List.copyOf(m.zones().keySet());
        var service = m.services().values().iterator().next();
        if (routers.size() != zones.size())
            throw new CommandFailure(2, "--routers needs " + zones.size() + " numbers, one for each zone");
        if (runners.size() != service.cells().size())
            throw new CommandFailure(2, "--runners needs " + service.cells().size() + " numbers, one for each cell");
        if (zones.size() < 3) throw new CommandFailure(2, "a fleet needs three zones for its three stores");
        if (Files.exists(folder) && Files.list(folder).findAny().isPresent())
            throw new CommandFailure(2, folder + " is not empty");
        for (var d : List.of("startup", "data", "log", "pid", "journal")) Files.createDirectories(folder.resolve(d));
        Files.writeString(folder.resolve("manifest.json"), text);
        for (var i = 0; i < 3; i++) seedAddresses.add(nextAddress());
        for (var i = 0; i < 3; i++) addStore("store-" + zones.get(i), zones.get(i), seedAddresses.get(i));
        for (var z = 0; z < zones.size(); z++)
            for (var i = 1; i <= routers.get(z); i++) addRouter("router-" + zones.get(z) + "-" + i, zones.get(z));
        for (var c = 0; c < service.cells().size(); c++)
            for (var i = 1; i <= runners.get(c); i++)
                addRunner(service, service.cells().get(c), i);
        Files.writeString(folder.resolve("fleet.json"), fleetJson.toPrettyString() + "\n");
        writeScript("up.sh", String.join("\n", startCommands) + "\n");
        writeScript(
                "down.sh",
                "for f in pid/*; do kill \"$(cat \"$f\")\" 2>/dev/null; done\nfor f in pid/*; do while kill -0 \"$(cat \"$f\")\" 2>/dev/null; do sleep 0.1; done; rm -f \"$f\"; done\n");
        for (var h : reservedPorts) h.close();
        System.out.println(folder + ": 3 stores, " + fleetJson.get("routers").size() + " routers, "
                + fleetJson.get("runners").size() + " runners; start with up.sh, end with down.sh");
        return 0;
    }

    private String nextAddress() throws IOException {
        if (port != 0) return LOOPBACK_HOST + ":" + port++;
        var s = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK_HOST));
        reservedPorts.add(s);
        return LOOPBACK_HOST + ":" + s.getLocalPort();
    }

    private void addStore(String name, String zone, String partner) throws IOException {
        var n = commonSettings(name, zone, partner);
        n.put("data", folder.toAbsolutePath().resolve("data").resolve(name).toString())
                .put("stores", 3);
        writeStartupFile(name, n);
        fleetJson.withObject("/stores").set(name, n);
        addStartCommand(name, "store", "--startup startup/" + name + ".json");
    }

    private void addRouter(String name, String zone) throws IOException {
        var n = commonSettings(name, zone, nextAddress());
        n.put("requester", nextAddress()).put("runner", nextAddress());
        writeStartupFile(name, n);
        fleetJson.withObject("/routers").set(name, n);
        addStartCommand(name, "router", "--startup startup/" + name + ".json");
    }

    private ObjectNode commonSettings(String name, String zone, String partner) throws IOException {
        var n = JSON.createObjectNode();
        n.put("name", name)
                .put("zone", zone)
                .put("partner", partner)
                .put("operator", nextAddress())
                .put("platform", nextAddress());
        var s = n.putArray("seeds");
        seedAddresses.forEach(s::add);
        return n;
    }

    private void writeStartupFile(String name, ObjectNode n) throws IOException {
        Files.writeString(folder.resolve("startup").resolve(name + ".json"), n.toPrettyString() + "\n");
    }

    private void addRunner(Manifest.Service s, Manifest.Cell c, int i) throws IOException {
        var name = "runner-" + c.name() + "-" + i;
        var address = nextAddress();
        var to = new ArrayList<String>();
        fleetJson.get("routers").forEach(r -> {
            if (r.get("zone").asText().equals(c.zone())) to.add(r.get("runner").asText());
        });
        fleetJson.withObject("/runners")
                .putObject(name)
                .put("address", address)
                .put("cell", c.name())
                .put("zone", c.zone())
                .put("service", s.name())
                .put("routers", String.join(",", to))
                .put("slots", slots);
        addStartCommand(
                name,
                "standin",
                "runner --name " + name + " --listen " + address + " --routers " + String.join(",", to) + " --service "
                        + s.name() + " --cell " + c.name() + " --slots " + slots + " --journal journal/" + name
                        + ".jsonl");
    }

    private void addStartCommand(String name, String program, String rest) {
        startCommands.add("nohup \"$CRANEWAY/" + program + "\" " + rest + " > log/" + name + ".log 2>&1 &\necho $! > pid/"
                + name);
    }

    private void writeScript(String name, String body) throws IOException {
        var f = folder.resolve(name);
        Files.writeString(
                f,
                "#!/bin/sh\n# CRANEWAY is the folder that holds the programs router, store and standin.\ncd \"$(dirname \"$0\")\" || exit 1\n"
                        + (name.equals("up.sh") ? ": \"${CRANEWAY:?set it to the folder of the programs}\"\n" : "")
                        + body);
        f.toFile().setExecutable(true);
    }
}
