package craneway.model.manifest;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import craneway.model.json.JsonTree;
import craneway.model.problem.ProblemKind;
import craneway.model.problem.Problem;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Reads a manifest's text: against the JSON schema, then for names that must exist and numbers that must fit. */
public final class ManifestReader {
    private static final class Shape {
        private static final Schema SCHEMA = SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
                .getSchema(schemaText());
    }

    private ManifestReader() {}

    /** The JSON schema of a manifest. */
    public static String schemaText() {
        try (var in = ManifestReader.class.getResourceAsStream("/craneway/manifest.schema.json")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads a text that a store has checked already; skips the schema. */
    public static Either<Problem, Manifest> readValidated(String text) {
        return parse(text).flatMap(ManifestReader::means);
    }

    /** Reads and checks a text; a problem BAD_MANIFEST says what is wrong with it. */
    public static Either<Problem, Manifest> read(String text) {
        return parse(text).flatMap(ManifestReader::fits).flatMap(ManifestReader::means);
    }

    private static Either<Problem, JsonNode> parse(String text) {
        try {
            return Either.right(JsonTree.read(text));
        } catch (JsonProcessingException e) {
            return bad("not JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            return bad("not JSON: " + e.getMessage());
        }
    }

    private static Either<Problem, JsonNode> fits(JsonNode n) {
        var all = Shape.SCHEMA.validate(n);
        if (all.isEmpty()) return Either.right(n);
        return bad(all.stream()
                .limit(20)
                .map(e -> e.getInstanceLocation() + ": " + e.getMessage())
                .collect(Collectors.joining("; ")));
    }

    private static Either<Problem, Manifest> means(JsonNode n) {
        var wrong = new ArrayList<String>();
        var regions = names(n.get("regions"));
        var zones = new LinkedHashMap<String, Manifest.Zone>();
        for (var z : n.get("zones")) {
            var zone = new Manifest.Zone(z.get("name").asText(), z.get("region").asText());
            if (zones.put(zone.name(), zone) != null) wrong.add("zone " + zone.name() + " stands twice");
            if (!regions.contains(zone.region())) wrong.add("zone " + zone.name() + ": no region " + zone.region());
        }
        var services = services(n, zones, wrong);
        var tenants = tenants(n, regions, wrong);
        var routes = RouteReader.routes(n, regions, services.keySet(), wrong);
        if (!wrong.isEmpty()) return bad(wrong.stream().limit(20).collect(Collectors.joining("; ")));
        return Either.right(new Manifest(
                n.get("name").asText(),
                regions,
                zones,
                services,
                tenants,
                routes,
                RouteReader.limits(n),
                us(n, "lapsedGraceMs", 30_000),
                us(n, "claimRetentionMs", 86_400_000)));
    }

    private static Map<String, Manifest.Service> services(
            JsonNode n, Map<String, Manifest.Zone> zones, List<String> wrong) {
        var all = new LinkedHashMap<String, Manifest.Service>();
        for (var s : n.get("services")) {
            var name = s.get("name").asText();
            var cells = new ArrayList<Manifest.Cell>();
            for (var c : s.get("cells")) {
                var cell = new Manifest.Cell(
                        c.get("name").asText(),
                        c.get("zone").asText(),
                        c.path("weight").asInt(1));
                if (cells.stream().anyMatch(o -> o.name().equals(cell.name())))
                    wrong.add("service " + name + ": cell " + cell.name() + " stands twice");
                if (!zones.containsKey(cell.zone())) wrong.add("cell " + cell.name() + ": no zone " + cell.zone());
                cells.add(cell);
            }
            var work = new ArrayList<Manifest.WorkKind>();
            for (var w : s.get("work"))
                work.add(new Manifest.WorkKind(
                        w.get("name").asText(), w.path("runOnce").asBoolean(false)));
            if (work.stream().map(Manifest.WorkKind::name).distinct().count() != work.size())
                wrong.add("service " + name + ": a kind of work stands twice");
            var service = new Manifest.Service(
                    name,
                    work,
                    cells,
                    s.path("buffer").asInt(64),
                    s.path("bodyLimit").asInt(262_144),
                    us(s, "deadlineMs", 60_000),
                    us(s, "stepPauseMs", 100),
                    s.path("stepUnits").asInt(25),
                    us(s, "warmUpMs", 5_000),
                    RouteReader.engine(s),
                    s.path("weighed").asText("").equals("slots"));
            if (all.put(name, service) != null) wrong.add("service " + name + " stands twice");
        }
        return all;
    }

    private static Map<String, Manifest.Tenant> tenants(JsonNode n, List<String> regions, List<String> wrong) {
        var all = new LinkedHashMap<String, Manifest.Tenant>();
        for (var t : n.path("tenants")) {
            var home = t.has("regions") ? names(t.get("regions")) : regions;
            var tenant = new Manifest.Tenant(
                    t.get("name").asText(), home, t.path("quotaPerMinute").asInt(0));
            if (all.put(tenant.name(), tenant) != null) wrong.add("tenant " + tenant.name() + " stands twice");
            for (var r : home) if (!regions.contains(r)) wrong.add("tenant " + tenant.name() + ": no region " + r);
        }
        return all;
    }

    static List<String> names(JsonNode n) {
        var all = new ArrayList<String>();
        n.forEach(x -> all.add(x.asText()));
        return all;
    }

    static long us(JsonNode n, String field, long def) {
        return n.path(field).asLong(def) * 1000;
    }

    private static <T> Either<Problem, T> bad(String detail) {
        return Either.left(Problem.of(ProblemKind.BAD_MANIFEST, detail));
    }
}
