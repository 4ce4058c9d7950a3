package craneway.command.operator;

import craneway.command.OperatorClient;
import craneway.control.operator.Intent;
import io.undertow.util.Methods;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(
        name = "zone",
        description = "Empties a zone or takes it back: the intent, its plan, and with --confirm its confirmation.")
public final class ZoneCommand {
    @Command(name = "empty")
    int empty(
            @Parameters(paramLabel = "ZONE") String zone, @Option(names = "--confirm") boolean confirm, @Mixin OperatorAddresses at) {
        return act(Intent.EMPTY_ZONE, zone, confirm, at);
    }

    @Command(name = "take-back")
    int takeBack(
            @Parameters(paramLabel = "ZONE") String zone, @Option(names = "--confirm") boolean confirm, @Mixin OperatorAddresses at) {
        return act(Intent.TAKE_BACK_ZONE, zone, confirm, at);
    }

    private static int act(String intent, String zone, boolean confirm, OperatorAddresses at) {
        String plan;
        try (var w = new OperatorClient()) {
            plan = w.request(
                            at.all(),
                            Methods.POST,
                            "/v1/intents",
                            Map.of(),
                            "{\"intent\":\"" + intent + "\",\"zone\":\"" + zone.replaceAll("[\"\\\\]", "") + "\"}")
                    .text();
        }
        System.out.println(Plans.text(plan));
        return confirm
                ? PlanCommand.call(Methods.POST, Plans.json(plan).path("plan").asLong(), "/confirm", at)
                : 0;
    }
}
