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

/** {@code craneway manifest}: checks, sends, shows and compares manifests. */
@Command(name = "manifest", description = "Checks, sends, shows and compares manifests.")
public final class ManifestCommand {
    private static final ObjectMapper JSON = new ObjectMapper();

    @Command(
            name = "check",
            description = "Validates a manifest against its schema and its rules. Exit code 3 if it is not valid.")
    int check(@Parameters(paramLabel = "FILE") Path file) {
        requireValid(readFile(file));
        System.out.println(file + ": valid");
        return 0;
    }

    @Command(
            name = "send",
            description = "Replaces the manifest if the version in force is still the one given by --base. "
                    + "Exit code 5 while a node may still act on the older manifest.")
    int send(
            @Parameters(paramLabel = "FILE") Path file,
            @Mixin OperatorAddresses operators,
            @Option(
                            names = "--base",
                            required = true,
                            description = "the version that this manifest is based on; 0 for the first manifest")
                    long base) {
        var text = readFile(file);
        requireValid(text);
        try (var client = new OperatorClient()) {
            return printRolloutState(client.request(
                    operators.validAddresses(),
                    Methods.PUT,
                    "/v1/manifest",
                    Map.of(HeaderNames.BASE_VERSION, Long.toString(base)),
                    text));
        }
    }

    @Command(
            name = "watch",
            description = "Waits up to 3 s until a manifest is in force on every node. "
                    + "Exit code 5 while a node may still act on an older manifest.")
    int watch(@Parameters(paramLabel = "VERSION") long version, @Mixin OperatorAddresses operators) {
        try (var client = new OperatorClient()) {
            return printRolloutState(client.request(
                    operators.validAddresses(), Methods.GET, "/v1/manifest/" + version + "/watch", Map.of(), ""));
        }
    }

    /** Prints the reply and returns the exit code for the state of the rollout in it. */
    private static int printRolloutState(BufferedHttpResponse response) {
        System.out.println(response.text().strip());
        return "pending"
                        .equals(PlanFormatter.parseJson(response.text())
                                .path("state")
                                .asText())
                ? PlanCommand.EXIT_PENDING
                : 0;
    }

    @Command(name = "show", description = "Prints the manifest in force, and its version on standard error.")
    int show(@Mixin OperatorAddresses operators) {
        var response = fetchManifest(operators);
        System.err.println("version " + response.headers().getFirst(HeaderNames.MANIFEST_VERSION));
        System.out.print(response.text());
        return 0;
    }

    @Command(name = "diff", description = "Compares a file with the manifest in force. Exit code 1 if they differ.")
    int diff(@Parameters(paramLabel = "FILE") Path file, @Mixin OperatorAddresses operators) throws IOException {
        var fileValues = new TreeMap<String, String>();
        var currentValues = new TreeMap<String, String>();
        var text = readFile(file);
        requireValid(text);
        flatten("", JSON.readTree(text), fileValues);
        flatten("", JSON.readTree(fetchManifest(operators).text()), currentValues);
        var differs = false;
        var allPaths = new TreeMap<>(fileValues);
        allPaths.putAll(currentValues);
        for (var path : allPaths.keySet()) {
            if (fileValues.containsKey(path) && fileValues.get(path).equals(currentValues.get(path))) continue;
            differs = true;
            if (currentValues.containsKey(path)) System.out.println("- " + path + " = " + currentValues.get(path));
            if (fileValues.containsKey(path)) System.out.println("+ " + path + " = " + fileValues.get(path));
        }
        return differs ? 1 : 0;
    }

    /**
     * Adds each leaf value of a JSON tree under its path. An array's elements are identified by their name, if they
     * have one, else by their index.
     */
    private static void flatten(String path, JsonNode node, Map<String, String> values) {
        if (node.isObject())
            node.fields().forEachRemaining(field -> flatten(path + "/" + field.getKey(), field.getValue(), values));
        else if (node.isArray())
            for (var i = 0; i < node.size(); i++)
                flatten(
                        path + "/"
                                + (node.get(i).has("name")
                                        ? node.get(i).get("name").asText()
                                        : i),
                        node.get(i),
                        values);
        else values.put(path, node.toString());
    }

    private static BufferedHttpResponse fetchManifest(OperatorAddresses operators) {
        try (var client = new OperatorClient()) {
            return client.request(operators.validAddresses(), Methods.GET, "/v1/manifest", Map.of(), "");
        }
    }

    private static String readFile(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new CommandException(2, "cannot read " + file + ": " + e.getMessage());
        }
    }

    private static void requireValid(String text) {
        var manifest = ManifestReader.read(text);
        if (manifest.isLeft())
            throw new CommandException(3, "not valid: " + manifest.getLeft().detail());
    }
}
