package craneway.model.manifest;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

final class RouteReader {
    private RouteReader() {}

    static Manifest.Limits limits(JsonNode n) {
        var l = n.path("limits");
        return new Manifest.Limits(
                l.path("headerBytes").asInt(16_384),
                l.path("bodyBytes").asInt(4 << 20),
                ManifestReader.us(l, "headerMs", 3_000),
                ManifestReader.us(l, "idleMs", 15_000));
    }

    static Manifest.Engine engine(JsonNode s) {
        var e = s.path("engine");
        return new Manifest.Engine(
                e.path("healthPath").asText("/health"),
                e.path("connections").asInt(1_000),
                ManifestReader.us(e, "coldMs", 0),
                e.path("coldPerSecond").asDouble(0),
                e.path("slots").asInt(1),
                e.path("cacheTokens").asLong(0));
    }

    static Routes routes(JsonNode n, List<String> regions, Set<String> services, List<String> wrong) {
        var all = new ArrayList<Route>();
        var seen = new HashSet<String>();
        for (var r : n.path("routes")) {
            var x = route(r);
            if (!seen.add(x.host().toLowerCase(Locale.ROOT) + x.pathPrefix()))
                wrong.add("route " + x.name() + ": " + x.host() + x.pathPrefix() + " stands twice");
            var sum = 0L;
            for (var s : x.shares()) {
                sum += s.weight();
                if (!services.contains(s.service())) wrong.add("route " + x.name() + ": no service " + s.service());
            }
            if (sum <= 0 || sum > Integer.MAX_VALUE) wrong.add("route " + x.name() + ": its weights sum to " + sum);
            if (x.deadline() <= 0) wrong.add("route " + x.name() + ": its deadline is 0");
            for (var g : x.allowedRegions()) if (!regions.contains(g)) wrong.add("route " + x.name() + ": no region " + g);
            all.add(x);
        }
        return new Routes(all);
    }

    private static Route route(JsonNode r) {
        var shares = new ArrayList<Route.Share>();
        for (var s : r.path("shares"))
            shares.add(
                    new Route.Share(s.path("service").asText(), s.path("weight").asInt(1)));
        return new Route(
                r.path("name").asText(),
                r.path("host").asText(),
                r.path("prefix").asText(),
                Route.Kind.valueOf(r.path("kind").asText("repeatable").toUpperCase(Locale.ROOT)),
                ManifestReader.us(r, "deadlineMs", 60_000),
                ManifestReader.us(r, "targetMs", 0),
                r.path("urgency").asInt(5),
                List.copyOf(shares),
                Math.max(1, r.path("tries").asInt(1)),
                r.path("sticky").asBoolean(false),
                r.path("resume").asBoolean(false),
                ManifestReader.us(r, "pauseMs", 0),
                List.copyOf(ManifestReader.names(r.path("regions"))));
    }
}
