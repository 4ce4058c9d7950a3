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

public final class StartupSettings {
    public static final String ROUTER_KIND = "router", STORE_KIND = "store";
    private static final ObjectMapper JSON = new ObjectMapper();

    public final String name;
    public final String zone;
    public final String clientAddress;
    public final String runnerAddress;
    public final String operatorAddress;
    public final String readinessAddress;
    public final String peerAddress;
    public final List<String> seedAddresses;
    public final Path dataDirectory;
    public final int founderCount;

    private StartupSettings(JsonNode n) {
        name = n.get("name").asText();
        zone = n.get("zone").asText();
        clientAddress = n.path("requester").asText(null);
        runnerAddress = n.path("runner").asText(null);
        operatorAddress = n.get("operator").asText();
        readinessAddress = n.get("platform").asText();
        peerAddress = n.get("partner").asText();
        seedAddresses = StreamSupport.stream(n.get("seeds").spliterator(), false)
                .map(JsonNode::asText)
                .toList();
        dataDirectory = n.has("data") ? Path.of(n.get("data").asText()) : null;
        founderCount = n.path("stores").asInt(3);
    }

    public static StartupSettings load(Path file, Map<String, String> flags, String kind) {
        var wrong = new ArrayList<String>();
        var n = file == null ? JSON.createObjectNode() : read(file, wrong);
        flags.forEach((k, x) -> {
            if (x != null) n.set(k, typed(k, x));
        });
        if (wrong.isEmpty()) fits(n, kind, wrong);
        if (wrong.isEmpty()) means(n, wrong);
        if (!wrong.isEmpty()) throw new InvalidSettingsException(wrong);
        return new StartupSettings(n);
    }

    private static ObjectNode read(Path file, List<String> wrong) {
        try {
            if (JSON.readTree(Files.readString(file)) instanceof ObjectNode o) return o;
            wrong.add("startup file " + file + " holds no JSON object");
        } catch (IOException e) {
            wrong.add("startup file " + file + " cannot be read as JSON: "
                    + e.getMessage().lines().findFirst().orElse(""));
        }
        return JSON.createObjectNode();
    }

    private static JsonNode typed(String k, String x) {
        if (k.equals("stores") && x.matches("\\d{1,4}"))
            return JSON.getNodeFactory().numberNode(Integer.parseInt(x));
        if (!k.equals("seeds")) return JSON.getNodeFactory().textNode(x);
        var all = JSON.createArrayNode();
        for (var a : x.split(",")) all.add(a);
        return all;
    }

    private static void fits(JsonNode n, String kind, List<String> wrong) {
        try (var in = StartupSettings.class.getResourceAsStream("/craneway/" + kind + ".schema.json")) {
            var schema = SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
                    .getSchema(new String(in.readAllBytes(), StandardCharsets.UTF_8));
            for (var e : schema.validate(n))
                wrong.add((e.getInstanceLocation().toString().isEmpty() ? "startup" : e.getInstanceLocation()) + ": "
                        + e.getMessage());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void means(JsonNode n, List<String> wrong) {
        var used = new HashSet<String>();
        for (var k : List.of("requester", "runner", "operator", "platform", "partner")) {
            if (!n.has(k)) continue;
            var a = n.get(k).asText();
            if (Addresses.isInvalid(a)) wrong.add(k + " \"" + a + "\" is not IP:PORT");
            else if (!used.add(a)) wrong.add(k + " " + a + " is used twice");
        }
        for (var s : n.get("seeds"))
            if (Addresses.isInvalid(s.asText())) wrong.add("seed \"" + s.asText() + "\" is not IP:PORT");
        if (n.has("data")) folder(Path.of(n.get("data").asText()), wrong);
    }

    private static void folder(Path p, List<String> wrong) {
        try {
            Files.createDirectories(p);
            if (!Files.isWritable(p)) wrong.add("data folder " + p + " cannot be written");
        } catch (IOException e) {
            wrong.add("data folder " + p + " cannot be made: " + e.getMessage());
        }
    }
}
