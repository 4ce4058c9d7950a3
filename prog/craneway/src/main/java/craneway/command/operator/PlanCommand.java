package craneway.command.operator;

import com.fasterxml.jackson.databind.JsonNode;
import craneway.command.OperatorClient;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

@Command(name = "plan", description = "Shows, confirms, stops and watches plans.")
public final class PlanCommand {
    static final int PENDING = 5;

    @Command(name = "show")
    int show(@Parameters(paramLabel = "PLAN") long plan, @Mixin OperatorAddresses at) {
        return call(Methods.GET, plan, "", at);
    }

    @Command(name = "confirm", description = "Puts a plan in force. Exit code 5 while a router has not acknowledged.")
    int confirm(@Parameters(paramLabel = "PLAN") long plan, @Mixin OperatorAddresses at) {
        return call(Methods.POST, plan, "/confirm", at);
    }

    @Command(name = "stop")
    int stop(@Parameters(paramLabel = "PLAN") long plan, @Mixin OperatorAddresses at) {
        return call(Methods.POST, plan, "/stop", at);
    }

    @Command(name = "watch", description = "Waits up to 3 s for every router's word. Exit code 5 while one is missing.")
    int watch(@Parameters(paramLabel = "PLAN") long plan, @Mixin OperatorAddresses at) {
        return call(Methods.GET, plan, "/watch", at);
    }

    @Command(
            name = "quiet",
            description =
                    "Shows which cells could be emptied now, and for how long the load seen would have fitted into the rest.")
    int quiet(@Mixin OperatorAddresses at) {
        JsonNode n;
        try (var w = new OperatorClient()) {
            n = Plans.json(
                    w.request(at.all(), Methods.GET, "/v1/quiet", Map.of(), "").text());
        }
        for (var c : n.get("cells")) System.out.println(line(c));
        return 0;
    }

    private static String line(JsonNode c) {
        var b = new StringBuilder(String.format(
                "%s %s: %d of %d slots in use, %d slots elsewhere; ",
                c.get("service").asText(),
                c.get("cell").asText(),
                c.get("load").asInt(),
                c.get("slots").asInt(),
                c.get("slotsLeft").asInt()));
        var m = c.get("minutesItWouldHaveFitted").asInt();
        b.append(
                m == 0
                        ? "cannot be emptied"
                        : "the load of the last " + m + " minutes would have fitted: craneway intent empty-cell "
                                + c.get("service").asText() + " "
                                + c.get("cell").asText());
        for (var w : c.get("because")) b.append("\n  ").append(w.asText());
        return b.toString();
    }

    static int call(HttpString method, long plan, String act, OperatorAddresses at) {
        try (var w = new OperatorClient()) {
            var text = w.request(at.all(), method, "/v1/plans/" + plan + act, Map.of(), "")
                    .text();
            System.out.println(Plans.text(text));
            return "pending".equals(Plans.json(text).path("state").asText()) ? PENDING : 0;
        }
    }
}
