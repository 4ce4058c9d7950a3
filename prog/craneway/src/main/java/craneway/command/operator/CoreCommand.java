package craneway.command.operator;

import com.fasterxml.jackson.databind.JsonNode;
import craneway.command.CommandException;
import craneway.command.OperatorClient;
import io.undertow.util.Methods;
import java.util.List;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** {@code craneway core}: continues from one store after a majority of the stores is lost. */
@Command(name = "core", description = "Rebuilds a core that has lost the majority of its stores for good.")
public final class CoreCommand {
    @Command(
            name = "rebuild",
            description = "Shows what the store at --at would keep; "
                    + "with --confirm TOKEN it continues alone as a new generation.")
    int rebuild(
            @Mixin OperatorAddresses operators,
            @Option(
                            names = "--confirm",
                            paramLabel = "TOKEN",
                            description = "the token that was printed without this option")
                    String token) {
        if (operators.validAddresses().size() != 1)
            throw new CommandException(2, "--at must be the operator address of the one store to continue from");
        JsonNode proposal;
        try (var client = new OperatorClient()) {
            proposal = PlanFormatter.parseJson((token == null
                            ? client.request(operators.validAddresses(), Methods.GET, "/v1/core/rebuild", Map.of(), "")
                            : client.request(
                                    operators.validAddresses(), Methods.POST, "/v1/core/rebuild", Map.of(), token))
                    .text());
        }
        System.out.println(proposal.get("state").asText() + ": generation "
                + proposal.get("generation").asInt());
        for (var section : List.of("kept", "mayBeLost")) {
            System.out.println(section.equals("kept") ? "  kept:" : "  may be lost:");
            proposal.get(section).forEach(entry -> System.out.println("    " + entry.asText()));
        }
        if (token == null)
            System.out.println("  to do it: craneway core rebuild --confirm "
                    + proposal.get("token").asText() + " --at "
                    + operators.validAddresses().get(0));
        return 0;
    }

    @Command(
            name = "accept-claims",
            description = "Allows run-once work again after a rebuild, although claims may be lost.")
    int acceptClaims(@Mixin OperatorAddresses operators) {
        try (var client = new OperatorClient()) {
            System.out.println(
                    client.request(operators.validAddresses(), Methods.POST, "/v1/core/accept-claims", Map.of(), "")
                            .text()
                            .strip());
        }
        return 0;
    }
}
