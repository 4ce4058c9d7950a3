package craneway.command.operator;

import com.fasterxml.jackson.databind.JsonNode;
import craneway.command.OperatorClient;
import io.undertow.util.Methods;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** {@code craneway status}: prints the state of a core as seen by one node, as text or as JSON. */
@Command(
        name = "status",
        description = "Shows parts, members, placement tables, runners and marks. "
                + "Exit code 4 if a part has no reachable owner.")
public final class StatusCommand implements Callable<Integer> {
    @Mixin
    OperatorAddresses operatorAddresses;

    @Option(names = "--json")
    boolean json;

    @Override
    public Integer call() {
        JsonNode status;
        try (var client = new OperatorClient()) {
            var text = client.request(operatorAddresses.validAddresses(), Methods.GET, "/v1/status", Map.of(), "")
                    .text();
            status = PlanFormatter.parseJson(text);
            System.out.print(json ? text : format(status));
        }
        return status.get("partsReached").asInt() == status.get("parts").asInt() ? 0 : 4;
    }

    private static String format(JsonNode status) {
        var text = new StringBuilder();
        text.append(String.format(
                "seen from %s, %d of %d parts reached, manifest version %d%n",
                status.get("node").asText(),
                status.get("partsReached").asInt(),
                status.get("parts").asInt(),
                status.path("manifest").path("version").asLong()));
        status.path("manifest")
                .path("marks")
                .fields()
                .forEachRemaining(mark -> text.append(String.format(
                        "mark    %s = %s%n", mark.getKey(), mark.getValue().asText())));
        for (var group : status.get("groups"))
            text.append(String.format(
                    "part    %d  owner %-14s term %-4d applied %-8d group %s%n",
                    group.get("part").asInt(),
                    group.get("owner").asText(),
                    group.get("term").asLong(),
                    group.get("applied").asLong(),
                    group.get("group")));
        for (var member : status.get("members"))
            text.append(String.format(
                    "member  %-14s %-7s %-14s %-22s %s%n",
                    member.get("name").asText(),
                    member.get("kind").asText(),
                    member.get("zone").asText(),
                    member.get("address").asText(),
                    member.get("state").asText()));
        for (var service : status.get("services")) appendService(text, service);
        return text.toString();
    }

    private static void appendService(StringBuilder text, JsonNode service) {
        text.append(String.format(
                "service %s  part %d  table version %d%n",
                service.get("name").asText(),
                service.get("part").asInt(),
                service.get("tableVersion").asLong()));
        for (var cell : service.get("cells"))
            text.append(String.format(
                    "  cell   %-14s %-14s %4d units %3d runners up  load %d/%d%n",
                    cell.get("name").asText(),
                    cell.get("zone").asText(),
                    cell.get("units").asInt(),
                    cell.get("runnersUp").asInt(),
                    cell.get("load").asInt(),
                    cell.get("slots").asInt()));
        if (service.get("displacedUnits").asInt() > 0)
            text.append(String.format(
                    "  displaced by pressure: %d units%n",
                    service.get("displacedUnits").asInt()));
        for (var cellName : service.get("heldBack"))
            text.append(
                    String.format("  cell %s gets no moves for now: a step to it was taken back%n", cellName.asText()));
        for (var step : service.get("steps"))
            text.append(String.format(
                    "  step   %d: %d units to %s, %s (%s)%n",
                    step.get("step").asLong(),
                    step.get("units").asInt(),
                    step.get("to").asText(),
                    step.get("state").asText(),
                    step.get("cause").asText()));
        for (var runner : service.get("runners"))
            text.append(String.format(
                    "  runner %-14s %-14s %-8s load %d/%d%s%n",
                    runner.get("name").asText(),
                    runner.get("cell").asText(),
                    runner.get("state").asText(),
                    runner.get("load").asInt(),
                    runner.get("slots").asInt(),
                    runner.get("cold").asBoolean() ? " cold" : ""));
    }
}
