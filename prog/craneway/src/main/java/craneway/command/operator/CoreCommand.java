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

@Command(name = "core", description = "Rebuilds a core of which the majority of the stores is lost for good.")
public final class CoreCommand {
    @Command(
            name = "rebuild",
            description =
                    "Shows what the one store at --at would keep; with --confirm TOKEN it goes on alone as a new generation.")
    int rebuild(
            @Mixin OperatorAddresses at,
            @Option(names = "--confirm", paramLabel = "TOKEN", description = "the token that was shown") String token) {
        if (at.all().size() != 1)
            throw new CommandException(2, "--at must name the operator address of the one store to go on from");
        JsonNode n;
        try (var w = new OperatorClient()) {
            n = Plans.json((token == null
                            ? w.request(at.all(), Methods.GET, "/v1/core/rebuild", Map.of(), "")
                            : w.request(at.all(), Methods.POST, "/v1/core/rebuild", Map.of(), token))
                    .text());
        }
        System.out.println(
                n.get("state").asText() + ": generation " + n.get("generation").asInt());
        for (var part : List.of("kept", "mayBeLost")) {
            System.out.println(part.equals("kept") ? "  kept:" : "  may be lost:");
            n.get(part).forEach(x -> System.out.println("    " + x.asText()));
        }
        if (token == null)
            System.out.println("  to do it: craneway core rebuild --confirm "
                    + n.get("token").asText() + " --at " + at.all().get(0));
        return 0;
    }

    @Command(
            name = "accept-claims",
            description = "Lets run-once work run again after a rebuild, although claims may be lost.")
    int acceptClaims(@Mixin OperatorAddresses at) {
        try (var w = new OperatorClient()) {
            System.out.println(w.request(at.all(), Methods.POST, "/v1/core/accept-claims", Map.of(), "")
                    .text()
                    .strip());
        }
        return 0;
    }
}
