package craneway.command.operator;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import craneway.command.OperatorClient;
import craneway.control.operator.Intent;
import io.undertow.util.Methods;
import java.util.List;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(
        name = "intent",
        description = "States an intent and prints the plan for it. Nothing moves until the plan is confirmed.")
public final class IntentCommand {
    private static final ObjectMapper JSON = new ObjectMapper();

    @Command(name = "empty-zone")
    int emptyZone(@Parameters(paramLabel = "ZONE") String zone, @Mixin OperatorAddresses at) {
        return ask(of(Intent.EMPTY_ZONE).put("zone", zone), at);
    }

    @Command(name = "take-back-zone")
    int takeBackZone(@Parameters(paramLabel = "ZONE") String zone, @Mixin OperatorAddresses at) {
        return ask(of(Intent.TAKE_BACK_ZONE).put("zone", zone), at);
    }

    @Command(name = "empty-cell")
    int emptyCell(
            @Parameters(paramLabel = "SERVICE") String service,
            @Parameters(paramLabel = "CELL") String cell,
            @Mixin OperatorAddresses at) {
        return ask(of(Intent.EMPTY_CELL).put("service", service).put("cell", cell), at);
    }

    @Command(name = "take-back-cell")
    int takeBackCell(
            @Parameters(paramLabel = "SERVICE") String service,
            @Parameters(paramLabel = "CELL") String cell,
            @Mixin OperatorAddresses at) {
        return ask(of(Intent.TAKE_BACK_CELL).put("service", service).put("cell", cell), at);
    }

    @Command(name = "keep-tenant")
    int keepTenant(
            @Parameters(paramLabel = "TENANT") String tenant,
            @Option(names = "--in", required = true, split = ",") List<String> regions,
            @Mixin OperatorAddresses at) {
        var n = of(Intent.KEEP_TENANT).put("tenant", tenant);
        regions.forEach(n.putArray("regions")::add);
        return ask(n, at);
    }

    @Command(name = "release-tenant")
    int releaseTenant(@Parameters(paramLabel = "TENANT") String tenant, @Mixin OperatorAddresses at) {
        return ask(of(Intent.RELEASE_TENANT).put("tenant", tenant), at);
    }

    private static ObjectNode of(String intent) {
        return JSON.createObjectNode().put("intent", intent);
    }

    private static int ask(ObjectNode n, OperatorAddresses at) {
        try (var w = new OperatorClient()) {
            System.out.println(Plans.text(w.request(at.all(), Methods.POST, "/v1/intents", Map.of(), n.toString())
                    .text()));
        }
        return 0;
    }
}
