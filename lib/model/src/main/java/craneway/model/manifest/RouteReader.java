package craneway.model.manifest;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Reads the parts of a manifest that describe routes, runner properties and client limits. */
final class RouteReader {
    private RouteReader() {}

    static Manifest.Limits readLimits(JsonNode document) {
        var limitsNode = document.path("limits");
        return new Manifest.Limits(
                limitsNode.path("headerBytes").asInt(16_384),
                limitsNode.path("bodyBytes").asInt(4 << 20),
                ManifestReader.readMicros(limitsNode, "headerMs", 3_000),
                ManifestReader.readMicros(limitsNode, "idleMs", 15_000));
    }

    static Manifest.Engine readEngine(JsonNode serviceNode) {
        var engineNode = serviceNode.path("engine");
        return new Manifest.Engine(
                engineNode.path("healthPath").asText("/health"),
                engineNode.path("connections").asInt(1_000),
                ManifestReader.readMicros(engineNode, "coldMs", 0),
                engineNode.path("coldPerSecond").asDouble(0),
                engineNode.path("slots").asInt(1),
                engineNode.path("cacheTokens").asLong(0));
    }

    /** Reads all routes and adds what is invalid about them to {@code errors}. */
    static Routes readRoutes(JsonNode document, List<String> regions, Set<String> services, List<String> errors) {
        var routes = new ArrayList<Route>();
        var hostsAndPrefixes = new HashSet<String>();
        for (var routeNode : document.path("routes")) {
            var route = readRoute(routeNode);
            if (!hostsAndPrefixes.add(route.host().toLowerCase(Locale.ROOT) + route.pathPrefix()))
                errors.add("route " + route.name() + ": " + route.host() + route.pathPrefix() + " is defined twice");
            var weightSum = 0L;
            for (var share : route.shares()) {
                weightSum += share.weight();
                if (!services.contains(share.service()))
                    errors.add("route " + route.name() + ": there is no service " + share.service());
            }
            if (weightSum <= 0 || weightSum > Integer.MAX_VALUE)
                errors.add("route " + route.name()
                        + ": the sum of its share weights must be from 1 to 2147483647, but is " + weightSum);
            if (route.deadline() <= 0) errors.add("route " + route.name() + ": its deadline must be longer than 0 ms");
            for (var region : route.allowedRegions())
                if (!regions.contains(region)) errors.add("route " + route.name() + ": there is no region " + region);
            routes.add(route);
        }
        return new Routes(routes);
    }

    private static Route readRoute(JsonNode routeNode) {
        var shares = new ArrayList<Route.Share>();
        for (var shareNode : routeNode.path("shares"))
            shares.add(new Route.Share(
                    shareNode.path("service").asText(), shareNode.path("weight").asInt(1)));
        return new Route(
                routeNode.path("name").asText(),
                routeNode.path("host").asText(),
                routeNode.path("prefix").asText(),
                Route.Kind.valueOf(routeNode.path("kind").asText("repeatable").toUpperCase(Locale.ROOT)),
                ManifestReader.readMicros(routeNode, "deadlineMs", 60_000),
                ManifestReader.readMicros(routeNode, "targetMs", 0),
                routeNode.path("urgency").asInt(5),
                List.copyOf(shares),
                Math.max(1, routeNode.path("tries").asInt(1)),
                routeNode.path("sticky").asBoolean(false),
                routeNode.path("resume").asBoolean(false),
                ManifestReader.readMicros(routeNode, "pauseMs", 0),
                List.copyOf(ManifestReader.readNames(routeNode.path("regions"))));
    }
}
