package craneway.command.operator;

import craneway.command.OperatorClient;
import craneway.control.operator.Intent;
import io.undertow.util.Methods;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code craneway zone}: empties a zone or takes it back, and optionally confirms the plan at once. */
@Command(
        name = "zone",
        description =
                "Empties a zone or takes it back: submits the intent, prints its plan, and with --confirm confirms it.")
public final class ZoneCommand {
    @Command(name = "empty")
    int empty(
            @Parameters(paramLabel = "ZONE") String zone,
            @Option(names = "--confirm") boolean confirm,
            @Mixin OperatorAddresses operators) {
        return submitIntent(Intent.EMPTY_ZONE, zone, confirm, operators);
    }

    @Command(name = "take-back")
    int takeBack(
            @Parameters(paramLabel = "ZONE") String zone,
            @Option(names = "--confirm") boolean confirm,
            @Mixin OperatorAddresses operators) {
        return submitIntent(Intent.TAKE_BACK_ZONE, zone, confirm, operators);
    }

    private static int submitIntent(String intent, String zone, boolean confirm, OperatorAddresses operators) {
        String planJson;
        try (var client = new OperatorClient()) {
            planJson = client.request(
                            operators.validAddresses(),
                            Methods.POST,
                            "/v1/intents",
                            Map.of(),
                            "{\"intent\":\"" + intent + "\",\"zone\":\"" + zone.replaceAll("[\"\\\\]", "") + "\"}")
                    .text();
        }
        System.out.println(PlanFormatter.format(planJson));
        return confirm
                ? PlanCommand.requestPlan(
                        Methods.POST,
                        PlanFormatter.parseJson(planJson).path("plan").asLong(),
                        "/confirm",
                        operators)
                : 0;
    }
}
