package craneway.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import craneway.http.Addresses;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.stream.StreamSupport;

/**
 * The startup settings of a stand-alone router or store, read from a JSON file and overridden by command line options.
 * Addresses are IP:PORT. Immutable.
 */
public final class StartupSettings {
    /** The kind of process whose settings {@code router.schema.json} describes. */
    public static final String ROUTER_KIND = "router";

    /** The kind of process whose settings {@code store.schema.json} describes. */
    public static final String STORE_KIND = "store";

    private static final ObjectMapper JSON = new ObjectMapper();

    /** The name of the process, unique in its core. */
    public final String name;

    /** The zone in which the process runs. */
    public final String zone;

    /** The address on which a router accepts completion requests; null for a store. */
    public final String clientAddress;

    /** The address on which a router accepts announcements of runners; null for a store. */
    public final String runnerAddress;

    /** The address of the operator API. */
    public final String operatorAddress;

    /** The address of the liveness and readiness checks. */
    public final String readinessAddress;

    /** The address for messages of other craneway processes. */
    public final String peerAddress;

    /** The peer addresses of the three processes that are contacted first. */
    public final List<String> seedAddresses;

    /** The data directory of a store; null for a router. */
    public final Path dataDirectory;

    /** The number of empty stores that bootstrap a core together: 1, 3 or 5. */
    public final int founderCount;

    private StartupSettings(JsonNode settings) {
        name = settings.get("name").asText();
        zone = settings.get("zone").asText();
        clientAddress = settings.path("requester").asText(null);
        runnerAddress = settings.path("runner").asText(null);
        operatorAddress = settings.get("operator").asText();
        readinessAddress = settings.get("platform").asText();
        peerAddress = settings.get("partner").asText();
        seedAddresses = StreamSupport.stream(settings.get("seeds").spliterator(), false)
                .map(JsonNode::asText)
                .toList();
        dataDirectory = settings.has("data") ? Path.of(settings.get("data").asText()) : null;
        founderCount = settings.path("stores").asInt(3);
    }

    /**
     * Reads and validates the settings. Creates the data directory of a store if it does not exist.
     *
     * @param file the startup file, or null if all settings come from options
     * @param flags the command line options by settings key; a non-null value overrides the file
     * @param kind {@link #ROUTER_KIND} or {@link #STORE_KIND}
     * @throws InvalidSettingsException if the settings are invalid
     */
    public static StartupSettings load(Path file, Map<String, String> flags, String kind) {
        var faults = new ArrayList<String>();
        var settings = file == null ? JSON.createObjectNode() : read(file, faults);
        flags.forEach((key, value) -> {
            if (value != null) settings.set(key, toJson(key, value));
        });
        if (faults.isEmpty()) checkSchema(settings, kind, faults);
        if (faults.isEmpty()) checkValues(settings, faults);
        if (!faults.isEmpty()) throw new InvalidSettingsException(faults);
        return new StartupSettings(settings);
    }

    private static ObjectNode read(Path file, List<String> faults) {
        try {
            if (JSON.readTree(Files.readString(file)) instanceof ObjectNode o) return o;
            faults.add("startup file " + file + " does not contain a JSON object");
        } catch (IOException e) {
            faults.add("startup file " + file + " cannot be read as JSON: "
                    + e.getMessage().lines().findFirst().orElse(""));
        }
        return JSON.createObjectNode();
    }

    /** Converts the text of an option to the JSON type that the schema requires for its key. */
    private static JsonNode toJson(String key, String value) {
        if (key.equals("stores") && value.matches("\\d{1,4}"))
            return JSON.getNodeFactory().numberNode(Integer.parseInt(value));
        if (!key.equals("seeds")) return JSON.getNodeFactory().textNode(value);
        var addresses = JSON.createArrayNode();
        for (var address : value.split(",")) addresses.add(address);
        return addresses;
    }

    private static void checkSchema(JsonNode settings, String kind, List<String> faults) {
        try (var in = StartupSettings.class.getResourceAsStream("/craneway/" + kind + ".schema.json")) {
            var schema = SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
                    .getSchema(new String(in.readAllBytes(), StandardCharsets.UTF_8));
            for (var error : schema.validate(settings))
                faults.add((error.getInstanceLocation().toString().isEmpty() ? "startup" : error.getInstanceLocation())
                        + ": "
                        + error.getMessage());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Checks what the schema cannot express: valid and distinct addresses, and a writable data directory. */
    private static void checkValues(JsonNode settings, List<String> faults) {
        var usedAddresses = new HashSet<String>();
        for (var key : List.of("requester", "runner", "operator", "platform", "partner")) {
            if (!settings.has(key)) continue;
            var address = settings.get(key).asText();
            if (Addresses.isInvalid(address)) faults.add(key + " \"" + address + "\" is not IP:PORT");
            else if (!usedAddresses.add(address)) faults.add(key + " " + address + " is used more than once");
        }
        for (var seed : settings.get("seeds"))
            if (Addresses.isInvalid(seed.asText())) faults.add("seed \"" + seed.asText() + "\" is not IP:PORT");
        if (settings.has("data"))
            prepareDataDirectory(Path.of(settings.get("data").asText()), faults);
    }

    private static void prepareDataDirectory(Path directory, List<String> faults) {
        try {
            Files.createDirectories(directory);
            if (!Files.isWritable(directory)) faults.add("data directory " + directory + " is not writable");
        } catch (IOException e) {
            faults.add("data directory " + directory + " cannot be created: " + e.getMessage());
        }
    }
}
