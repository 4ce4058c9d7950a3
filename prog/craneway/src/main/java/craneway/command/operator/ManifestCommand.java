package craneway.command.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import craneway.command.CommandException;
import craneway.command.OperatorClient;
import craneway.http.BufferedHttpResponse;
import craneway.http.HeaderNames;
import craneway.model.manifest.ManifestReader;
import io.undertow.util.Methods;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(name = "manifest", description = "Checks, sends, shows and compares manifests.")
public final class ManifestCommand {
    private static final ObjectMapper JSON = new ObjectMapper();

    @Command(name = "check", description = "Checks a manifest's schema and meaning. Exit code 3 when it is not valid.")
    int check(@Parameters(paramLabel = "FILE") Path file) {
        valid(read(file));
        System.out.println(file + ": valid");
        return 0;
    }

    @Command(
            name = "send",
            description =
                    "Sends a whole manifest against the version it was written for. Exit code 5 while a node may still act on the older one.")
    int send(
            @Parameters(paramLabel = "FILE") Path file,
            @Mixin OperatorAddresses at,
            @Option(
                            names = "--base",
                            required = true,
                            description = "the version this manifest was written against; 0 for the first")
                    long base) {
        var text = read(file);
        valid(text);
        try (var w = new OperatorClient()) {
            return told(w.request(
                    at.all(),
                    Methods.PUT,
                    "/v1/manifest",
                    Map.of(HeaderNames.BASE_VERSION, Long.toString(base)),
                    text));
        }
    }

    @Command(
            name = "watch",
            description =
                    "Waits up to 3 s until a manifest is in force everywhere. Exit code 5 while a node may still act on an older one.")
    int watch(@Parameters(paramLabel = "VERSION") long version, @Mixin OperatorAddresses at) {
        try (var w = new OperatorClient()) {
            return told(w.request(at.all(), Methods.GET, "/v1/manifest/" + version + "/watch", Map.of(), ""));
        }
    }

    private static int told(BufferedHttpResponse r) {
        System.out.println(r.text().strip());
        return "pending".equals(Plans.json(r.text()).path("state").asText()) ? PlanCommand.PENDING : 0;
    }

    @Command(name = "show", description = "Prints the manifest in force; its version goes to standard error.")
    int show(@Mixin OperatorAddresses at) {
        var r = get(at);
        System.err.println("version " + r.headers().getFirst(HeaderNames.MANIFEST_VERSION));
        System.out.print(r.text());
        return 0;
    }

    @Command(name = "diff", description = "Compares a file with the manifest in force. Exit code 1 when they differ.")
    int diff(@Parameters(paramLabel = "FILE") Path file, @Mixin OperatorAddresses at) throws IOException {
        var mine = new TreeMap<String, String>();
        var theirs = new TreeMap<String, String>();
        var text = read(file);
        valid(text);
        flat("", JSON.readTree(text), mine);
        flat("", JSON.readTree(get(at).text()), theirs);
        var differs = false;
        var all = new TreeMap<>(mine);
        all.putAll(theirs);
        for (var k : all.keySet()) {
            if (mine.containsKey(k) && mine.get(k).equals(theirs.get(k))) continue;
            differs = true;
            if (theirs.containsKey(k)) System.out.println("- " + k + " = " + theirs.get(k));
            if (mine.containsKey(k)) System.out.println("+ " + k + " = " + mine.get(k));
        }
        return differs ? 1 : 0;
    }

    private static void flat(String at, JsonNode n, Map<String, String> into) {
        if (n.isObject()) n.fields().forEachRemaining(e -> flat(at + "/" + e.getKey(), e.getValue(), into));
        else if (n.isArray())
            for (var i = 0; i < n.size(); i++)
                flat(at + "/" + (n.get(i).has("name") ? n.get(i).get("name").asText() : i), n.get(i), into);
        else into.put(at, n.toString());
    }

    private static BufferedHttpResponse get(OperatorAddresses at) {
        try (var w = new OperatorClient()) {
            return w.request(at.all(), Methods.GET, "/v1/manifest", Map.of(), "");
        }
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new CommandException(2, "cannot read " + file + ": " + e.getMessage());
        }
    }

    private static void valid(String text) {
        var m = ManifestReader.read(text);
        if (m.isLeft()) throw new CommandException(3, "not valid: " + m.getLeft().detail());
    }
}
