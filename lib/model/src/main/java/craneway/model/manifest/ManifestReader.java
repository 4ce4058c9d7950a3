package craneway.model.manifest;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import craneway.model.json.JsonTree;
import craneway.model.problem.Problem;
import craneway.model.problem.ProblemKind;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Parses and validates the JSON text of a manifest.
 *
 * <p>The text is checked against the JSON schema first, then for what a schema cannot express: references to names that
 * are not defined, duplicates and sums.
 */
public final class ManifestReader {
    /** Compiles the schema on first use, so that processes that only call {@link #readValidated} never load it. */
    private static final class CompiledSchema {
        private static final Schema SCHEMA = SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
                .getSchema(schemaText());
    }

    private ManifestReader() {}

    /** Returns the JSON schema of a manifest as text. */
    public static String schemaText() {
        try (var in = ManifestReader.class.getResourceAsStream("/craneway/manifest.schema.json")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads a manifest that a store has validated before, without checking it against the schema again. */
    public static Either<Problem, Manifest> readValidated(String text) {
        return parse(text).flatMap(ManifestReader::build);
    }

    /** Reads and validates a manifest; a BAD_MANIFEST problem lists at most 20 errors. */
    public static Either<Problem, Manifest> read(String text) {
        return parse(text).flatMap(ManifestReader::validateAgainstSchema).flatMap(ManifestReader::build);
    }

    private static Either<Problem, JsonNode> parse(String text) {
        try {
            return Either.right(JsonTree.read(text));
        } catch (JsonProcessingException e) {
            return invalid("the manifest is not valid JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            return invalid("the manifest is not valid JSON: " + e.getMessage());
        }
    }

    private static Either<Problem, JsonNode> validateAgainstSchema(JsonNode document) {
        var errors = CompiledSchema.SCHEMA.validate(document);
        if (errors.isEmpty()) return Either.right(document);
        return invalid(errors.stream()
                .limit(20)
                .map(e -> e.getInstanceLocation() + ": " + e.getMessage())
                .collect(Collectors.joining("; ")));
    }

    private static Either<Problem, Manifest> build(JsonNode document) {
        var errors = new ArrayList<String>();
        var regions = readNames(document.get("regions"));
        var zones = new LinkedHashMap<String, Manifest.Zone>();
        for (var zoneNode : document.get("zones")) {
            var zone = new Manifest.Zone(
                    zoneNode.get("name").asText(), zoneNode.get("region").asText());
            if (zones.put(zone.name(), zone) != null) errors.add("zone " + zone.name() + " is defined twice");
            if (!regions.contains(zone.region()))
                errors.add("zone " + zone.name() + ": there is no region " + zone.region());
        }
        var services = readServices(document, zones, errors);
        var tenants = readTenants(document, regions, errors);
        var routes = RouteReader.readRoutes(document, regions, services.keySet(), errors);
        if (!errors.isEmpty()) return invalid(errors.stream().limit(20).collect(Collectors.joining("; ")));
        return Either.right(new Manifest(
                document.get("name").asText(),
                regions,
                zones,
                services,
                tenants,
                routes,
                RouteReader.readLimits(document),
                readMicros(document, "lapsedGraceMs", 30_000),
                readMicros(document, "claimRetentionMs", 86_400_000)));
    }

    private static Map<String, Manifest.Service> readServices(
            JsonNode document, Map<String, Manifest.Zone> zones, List<String> errors) {
        var services = new LinkedHashMap<String, Manifest.Service>();
        for (var serviceNode : document.get("services")) {
            var name = serviceNode.get("name").asText();
            var cells = new ArrayList<Manifest.Cell>();
            for (var cellNode : serviceNode.get("cells")) {
                var cell = new Manifest.Cell(
                        cellNode.get("name").asText(),
                        cellNode.get("zone").asText(),
                        cellNode.path("weight").asInt(1));
                if (cells.stream().anyMatch(other -> other.name().equals(cell.name())))
                    errors.add("service " + name + ": cell " + cell.name() + " is defined twice");
                if (!zones.containsKey(cell.zone()))
                    errors.add("cell " + cell.name() + ": there is no zone " + cell.zone());
                cells.add(cell);
            }
            var workKinds = new ArrayList<Manifest.WorkKind>();
            for (var workNode : serviceNode.get("work"))
                workKinds.add(new Manifest.WorkKind(
                        workNode.get("name").asText(), workNode.path("runOnce").asBoolean(false)));
            if (workKinds.stream().map(Manifest.WorkKind::name).distinct().count() != workKinds.size())
                errors.add("service " + name + ": a kind of work is defined twice");
            var service = new Manifest.Service(
                    name,
                    workKinds,
                    cells,
                    serviceNode.path("buffer").asInt(64),
                    serviceNode.path("bodyLimit").asInt(262_144),
                    readMicros(serviceNode, "deadlineMs", 60_000),
                    readMicros(serviceNode, "stepPauseMs", 100),
                    serviceNode.path("stepUnits").asInt(25),
                    readMicros(serviceNode, "warmUpMs", 5_000),
                    RouteReader.readEngine(serviceNode),
                    serviceNode.path("weighed").asText("").equals("slots"));
            if (services.put(name, service) != null) errors.add("service " + name + " is defined twice");
        }
        return services;
    }

    private static Map<String, Manifest.Tenant> readTenants(
            JsonNode document, List<String> regions, List<String> errors) {
        var tenants = new LinkedHashMap<String, Manifest.Tenant>();
        for (var tenantNode : document.path("tenants")) {
            var homeRegions = tenantNode.has("regions") ? readNames(tenantNode.get("regions")) : regions;
            var tenant = new Manifest.Tenant(
                    tenantNode.get("name").asText(),
                    homeRegions,
                    tenantNode.path("quotaPerMinute").asInt(0));
            if (tenants.put(tenant.name(), tenant) != null) errors.add("tenant " + tenant.name() + " is defined twice");
            for (var region : homeRegions)
                if (!regions.contains(region)) errors.add("tenant " + tenant.name() + ": there is no region " + region);
        }
        return tenants;
    }

    static List<String> readNames(JsonNode array) {
        var names = new ArrayList<String>();
        array.forEach(n -> names.add(n.asText()));
        return names;
    }

    /** Reads a field that holds milliseconds and returns microseconds. */
    static long readMicros(JsonNode object, String field, long defaultMillis) {
        return object.path(field).asLong(defaultMillis) * 1000;
    }

    private static <T> Either<Problem, T> invalid(String detail) {
        return Either.left(Problem.of(ProblemKind.BAD_MANIFEST, detail));
    }
}
