package craneway.command.operator;

import com.fasterxml.jackson.databind.JsonNode;
import craneway.command.OperatorClient;
import io.undertow.util.Methods;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

@Command(
        name = "status",
        description = "Shows parts, members, tables, runners and marks. Exit code 4 when a part has no owner in reach.")
public final class StatusCommand implements Callable<Integer> {
    @Mixin
    OperatorAddresses at;

    @Option(names = "--json")
    boolean json;

    @Override
    public Integer call() {
        JsonNode n;
        try (var w = new OperatorClient()) {
            var text = w.request(at.all(), Methods.GET, "/v1/status", Map.of(), "").text();
            n = Plans.json(text);
            System.out.print(json ? text : text(n));
        }
        return n.get("partsReached").asInt() == n.get("parts").asInt() ? 0 : 4;
    }

    private static String text(JsonNode n) {
        var b = new StringBuilder();
        b.append(String.format(
                "seen from %s, %d of %d parts reached, manifest version %d%n",
                n.get("node").asText(),
                n.get("partsReached").asInt(),
                n.get("parts").asInt(),
                n.path("manifest").path("version").asLong()));
        n.path("manifest")
                .path("marks")
                .fields()
                .forEachRemaining(e -> b.append(String.format(
                        "mark    %s = %s%n", e.getKey(), e.getValue().asText())));
        for (var g : n.get("groups"))
            b.append(String.format(
                    "part    %d  owner %-14s term %-4d applied %-8d group %s%n",
                    g.get("part").asInt(),
                    g.get("owner").asText(),
                    g.get("term").asLong(),
                    g.get("applied").asLong(),
                    g.get("group")));
        for (var m : n.get("members"))
            b.append(String.format(
                    "member  %-14s %-7s %-14s %-22s %s%n",
                    m.get("name").asText(),
                    m.get("kind").asText(),
                    m.get("zone").asText(),
                    m.get("address").asText(),
                    m.get("state").asText()));
        for (var s : n.get("services")) service(b, s);
        return b.toString();
    }

    private static void service(StringBuilder b, JsonNode s) {
        b.append(String.format(
                "service %s  part %d  table version %d%n",
                s.get("name").asText(),
                s.get("part").asInt(),
                s.get("tableVersion").asLong()));
        for (var c : s.get("cells"))
            b.append(String.format(
                    "  cell   %-14s %-14s %4d units %3d runners up  load %d/%d%n",
                    c.get("name").asText(),
                    c.get("zone").asText(),
                    c.get("units").asInt(),
                    c.get("runnersUp").asInt(),
                    c.get("load").asInt(),
                    c.get("slots").asInt()));
        if (s.get("displacedUnits").asInt() > 0)
            b.append(String.format(
                    "  displaced by pressure: %d units%n",
                    s.get("displacedUnits").asInt()));
        for (var h : s.get("heldBack"))
            b.append(String.format("  cell %s gets no moves for now: a step to it was taken back%n", h.asText()));
        for (var x : s.get("steps"))
            b.append(String.format(
                    "  step   %d: %d units to %s, %s (%s)%n",
                    x.get("step").asLong(),
                    x.get("units").asInt(),
                    x.get("to").asText(),
                    x.get("state").asText(),
                    x.get("cause").asText()));
        for (var r : s.get("runners"))
            b.append(String.format(
                    "  runner %-14s %-14s %-8s load %d/%d%s%n",
                    r.get("name").asText(),
                    r.get("cell").asText(),
                    r.get("state").asText(),
                    r.get("load").asInt(),
                    r.get("slots").asInt(),
                    r.get("cold").asBoolean() ? " cold" : ""));
    }
}
