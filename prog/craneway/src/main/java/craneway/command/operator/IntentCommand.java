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

/** {@code craneway intent}: submits an intent and prints its plan. */
@Command(
        name = "intent",
        description = "Submits an intent and prints its plan. Nothing changes until the plan is confirmed.")
public final class IntentCommand {
    private static final ObjectMapper JSON = new ObjectMapper();

    @Command(name = "empty-zone")
    int emptyZone(@Parameters(paramLabel = "ZONE") String zone, @Mixin OperatorAddresses operators) {
        return submit(newIntent(Intent.EMPTY_ZONE).put("zone", zone), operators);
    }

    @Command(name = "take-back-zone")
    int takeBackZone(@Parameters(paramLabel = "ZONE") String zone, @Mixin OperatorAddresses operators) {
        return submit(newIntent(Intent.TAKE_BACK_ZONE).put("zone", zone), operators);
    }

    @Command(name = "empty-cell")
    int emptyCell(
            @Parameters(paramLabel = "SERVICE") String service,
            @Parameters(paramLabel = "CELL") String cell,
            @Mixin OperatorAddresses operators) {
        return submit(newIntent(Intent.EMPTY_CELL).put("service", service).put("cell", cell), operators);
    }

    @Command(name = "take-back-cell")
    int takeBackCell(
            @Parameters(paramLabel = "SERVICE") String service,
            @Parameters(paramLabel = "CELL") String cell,
            @Mixin OperatorAddresses operators) {
        return submit(newIntent(Intent.TAKE_BACK_CELL).put("service", service).put("cell", cell), operators);
    }

    @Command(name = "keep-tenant")
    int keepTenant(
            @Parameters(paramLabel = "TENANT") String tenant,
            @Option(names = "--in", required = true, split = ",") List<String> regions,
            @Mixin OperatorAddresses operators) {
        var intent = newIntent(Intent.KEEP_TENANT).put("tenant", tenant);
        regions.forEach(intent.putArray("regions")::add);
        return submit(intent, operators);
    }

    @Command(name = "release-tenant")
    int releaseTenant(@Parameters(paramLabel = "TENANT") String tenant, @Mixin OperatorAddresses operators) {
        return submit(newIntent(Intent.RELEASE_TENANT).put("tenant", tenant), operators);
    }

    private static ObjectNode newIntent(String name) {
        return JSON.createObjectNode().put("intent", name);
    }

    private static int submit(ObjectNode intent, OperatorAddresses operators) {
        try (var client = new OperatorClient()) {
            System.out.println(PlanFormatter.format(
                    client.request(operators.validAddresses(), Methods.POST, "/v1/intents", Map.of(), intent.toString())
                            .text()));
        }
        return 0;
    }
}
