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

/** {@code craneway fleet}: lays out a fleet of stores, routers and stand-in runners for one machine. */
@Command(
        name = "fleet",
        description =
                "Writes the startup files of a whole fleet on this machine and the scripts that start and stop it.")
public final class FleetCommand implements Callable<Integer> {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String LOOPBACK_HOST = "127.0.0.1";

    @Parameters(paramLabel = "MANIFEST")
    Path manifest;

    @Option(names = "--folder", required = true, description = "an empty or new folder")
    Path folder;

    @Option(
            names = "--first-port",
            defaultValue = "21000",
            description = "the first port to assign, or 0 to use any free ports")
    int port;

    @Option(
            names = "--routers",
            split = ",",
            defaultValue = "2,2,2",
            description = "number of routers in each zone, in the order of the manifest")
    List<Integer> routers;

    @Option(
            names = "--runners",
            split = ",",
            defaultValue = "2,2,2",
            description = "number of stand-in runners in each cell of the first service")
    List<Integer> runners;

    @Option(names = "--slots", defaultValue = "16")
    int slots;

    /** Sockets that hold the free ports chosen so far, so that no port is chosen twice. */
    private final List<ServerSocket> reservedPorts = new ArrayList<>();

    private final List<String> startCommands = new ArrayList<>();
    private final List<String> seedAddresses = new ArrayList<>();
    /** The content of {@code fleet.json}: the addresses and settings of each process by kind and name. */
    private final ObjectNode fleetJson = JSON.createObjectNode();

    @Override
    public Integer call() throws IOException {
        var manifestText = Files.readString(manifest);
        var parsedManifest = ManifestReader.read(manifestText)
                .getOrElseThrow(problem -> new CommandException(3, "not valid: " + problem.detail()));
        var zones = List.copyOf(parsedManifest.zones().keySet());
        var service = parsedManifest.services().values().iterator().next();
        if (routers.size() != zones.size())
            throw new CommandException(2, "--routers needs " + zones.size() + " numbers, one for each zone");
        if (runners.size() != service.cells().size())
            throw new CommandException(2, "--runners needs " + service.cells().size() + " numbers, one for each cell");
        if (zones.size() < 3) throw new CommandException(2, "a fleet needs three zones for its three stores");
        if (Files.exists(folder) && Files.list(folder).findAny().isPresent())
            throw new CommandException(2, folder + " is not empty");
        for (var directory : List.of("startup", "data", "log", "pid", "journal"))
            Files.createDirectories(folder.resolve(directory));
        Files.writeString(folder.resolve("manifest.json"), manifestText);
        for (var i = 0; i < 3; i++) seedAddresses.add(nextAddress());
        for (var i = 0; i < 3; i++) addStore("store-" + zones.get(i), zones.get(i), seedAddresses.get(i));
        for (var zoneIndex = 0; zoneIndex < zones.size(); zoneIndex++)
            for (var i = 1; i <= routers.get(zoneIndex); i++)
                addRouter("router-" + zones.get(zoneIndex) + "-" + i, zones.get(zoneIndex));
        for (var cellIndex = 0; cellIndex < service.cells().size(); cellIndex++)
            for (var i = 1; i <= runners.get(cellIndex); i++)
                addRunner(service, service.cells().get(cellIndex), i);
        Files.writeString(folder.resolve("fleet.json"), fleetJson.toPrettyString() + "\n");
        writeScript("up.sh", String.join("\n", startCommands) + "\n");
        writeScript(
                "down.sh",
                "for f in pid/*; do kill \"$(cat \"$f\")\" 2>/dev/null; done\nfor f in pid/*; do while kill -0 \"$(cat \"$f\")\" 2>/dev/null; do sleep 0.1; done; rm -f \"$f\"; done\n");
        for (var socket : reservedPorts) socket.close();
        System.out.println(folder + ": 3 stores, " + fleetJson.get("routers").size() + " routers, "
                + fleetJson.get("runners").size() + " runners; start with up.sh, end with down.sh");
        return 0;
    }

    /** Returns an address with the next port, or with a free port that stays reserved until the files are written. */
    private String nextAddress() throws IOException {
        if (port != 0) return LOOPBACK_HOST + ":" + port++;
        var socket = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK_HOST));
        reservedPorts.add(socket);
        return LOOPBACK_HOST + ":" + socket.getLocalPort();
    }

    private void addStore(String name, String zone, String peerAddress) throws IOException {
        var settings = commonSettings(name, zone, peerAddress);
        settings.put(
                        "data",
                        folder.toAbsolutePath().resolve("data").resolve(name).toString())
                .put("stores", 3);
        writeStartupFile(name, settings);
        fleetJson.withObject("/stores").set(name, settings);
        addStartCommand(name, "store", "--startup startup/" + name + ".json");
    }

    private void addRouter(String name, String zone) throws IOException {
        var settings = commonSettings(name, zone, nextAddress());
        settings.put("requester", nextAddress()).put("runner", nextAddress());
        writeStartupFile(name, settings);
        fleetJson.withObject("/routers").set(name, settings);
        addStartCommand(name, "router", "--startup startup/" + name + ".json");
    }

    /** Returns the startup values that stores and routers have in common. */
    private ObjectNode commonSettings(String name, String zone, String peerAddress) throws IOException {
        var settings = JSON.createObjectNode();
        settings.put("name", name)
                .put("zone", zone)
                .put("partner", peerAddress)
                .put("operator", nextAddress())
                .put("platform", nextAddress());
        var seeds = settings.putArray("seeds");
        seedAddresses.forEach(seeds::add);
        return settings;
    }

    private void writeStartupFile(String name, ObjectNode settings) throws IOException {
        Files.writeString(folder.resolve("startup").resolve(name + ".json"), settings.toPrettyString() + "\n");
    }

    /** Adds a stand-in runner, which announces itself to the routers of its zone. */
    private void addRunner(Manifest.Service service, Manifest.Cell cell, int number) throws IOException {
        var name = "runner-" + cell.name() + "-" + number;
        var address = nextAddress();
        var routerAddresses = new ArrayList<String>();
        fleetJson.get("routers").forEach(router -> {
            if (router.get("zone").asText().equals(cell.zone()))
                routerAddresses.add(router.get("runner").asText());
        });
        fleetJson
                .withObject("/runners")
                .putObject(name)
                .put("address", address)
                .put("cell", cell.name())
                .put("zone", cell.zone())
                .put("service", service.name())
                .put("routers", String.join(",", routerAddresses))
                .put("slots", slots);
        addStartCommand(
                name,
                "standin",
                "runner --name " + name + " --listen " + address + " --routers " + String.join(",", routerAddresses)
                        + " --service "
                        + service.name() + " --cell " + cell.name() + " --slots " + slots + " --journal journal/" + name
                        + ".jsonl");
    }

    /** Adds a shell command that starts a program in the background and keeps its process id in {@code pid/}. */
    private void addStartCommand(String name, String program, String arguments) {
        startCommands.add("nohup \"$CRANEWAY/" + program + "\" " + arguments + " > log/" + name
                + ".log 2>&1 &\necho $! > pid/" + name);
    }

    /** Writes an executable shell script that runs in the folder of the fleet. */
    private void writeScript(String name, String body) throws IOException {
        var script = folder.resolve(name);
        Files.writeString(
                script,
                "#!/bin/sh\n# CRANEWAY is the folder that holds the programs router, store and standin.\ncd \"$(dirname \"$0\")\" || exit 1\n"
                        + (name.equals("up.sh") ? ": \"${CRANEWAY:?set it to the folder of the programs}\"\n" : "")
                        + body);
        script.toFile().setExecutable(true);
    }
}
