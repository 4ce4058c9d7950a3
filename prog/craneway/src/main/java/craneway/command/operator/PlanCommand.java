package craneway.command.operator;

import com.fasterxml.jackson.databind.JsonNode;
import craneway.command.OperatorClient;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** {@code craneway plan}: shows, confirms, stops and watches plans. */
@Command(name = "plan", description = "Shows, confirms, stops and watches plans.")
public final class PlanCommand {
    /** The exit code while some node has not acknowledged a change. */
    static final int EXIT_PENDING = 5;

    @Command(name = "show")
    int show(@Parameters(paramLabel = "PLAN") long plan, @Mixin OperatorAddresses operators) {
        return requestPlan(Methods.GET, plan, "", operators);
    }

    @Command(
            name = "confirm",
            description = "Puts a plan in force. Exit code 5 while a router has not acknowledged it.")
    int confirm(@Parameters(paramLabel = "PLAN") long plan, @Mixin OperatorAddresses operators) {
        return requestPlan(Methods.POST, plan, "/confirm", operators);
    }

    @Command(name = "stop")
    int stop(@Parameters(paramLabel = "PLAN") long plan, @Mixin OperatorAddresses operators) {
        return requestPlan(Methods.POST, plan, "/stop", operators);
    }

    @Command(
            name = "watch",
            description = "Waits up to 3 s until every router has acknowledged the plan. Exit code 5 if one has not.")
    int watch(@Parameters(paramLabel = "PLAN") long plan, @Mixin OperatorAddresses operators) {
        return requestPlan(Methods.GET, plan, "/watch", operators);
    }

    @Command(
            name = "quiet",
            description = "Shows which cells could be emptied now, "
                    + "and for how many past minutes the other cells had room for their load.")
    int estimateDrains(@Mixin OperatorAddresses operators) {
        JsonNode reply;
        try (var client = new OperatorClient()) {
            reply = PlanFormatter.parseJson(
                    client.request(operators.validAddresses(), Methods.GET, "/v1/quiet", Map.of(), "")
                            .text());
        }
        for (var cell : reply.get("cells")) System.out.println(formatCell(cell));
        return 0;
    }

    private static String formatCell(JsonNode cell) {
        var text = new StringBuilder(String.format(
                "%s %s: %d of %d slots in use, %d slots elsewhere; ",
                cell.get("service").asText(),
                cell.get("cell").asText(),
                cell.get("load").asInt(),
                cell.get("slots").asInt(),
                cell.get("slotsLeft").asInt()));
        var minutes = cell.get("minutesItWouldHaveFitted").asInt();
        text.append(
                minutes == 0
                        ? "cannot be emptied"
                        : "the load of the last " + minutes + " minutes would have fitted: craneway intent empty-cell "
                                + cell.get("service").asText() + " "
                                + cell.get("cell").asText());
        for (var reason : cell.get("because")) text.append("\n  ").append(reason.asText());
        return text.toString();
    }

    /**
     * Sends a request about a plan, prints the plan from the reply and returns the exit code.
     *
     * @param pathSuffix the part of the path after the number of the plan
     */
    static int requestPlan(HttpString method, long plan, String pathSuffix, OperatorAddresses operators) {
        try (var client = new OperatorClient()) {
            var reply = client.request(
                            operators.validAddresses(), method, "/v1/plans/" + plan + pathSuffix, Map.of(), "")
                    .text();
            System.out.println(PlanFormatter.format(reply));
            return "pending".equals(PlanFormatter.parseJson(reply).path("state").asText()) ? EXIT_PENDING : 0;
        }
    }
}
