package craneway.command.operator;

import craneway.command.CommandException;
import craneway.http.Addresses;
import java.util.List;
import picocli.CommandLine.Option;

public final class OperatorAddresses {
    @Option(
            names = "--at",
            required = true,
            split = ",",
            description = "operator addresses, IP:PORT with commas; the first that replies serves")
    private List<String> addresses;

    List<String> all() {
        for (var a : addresses)
            if (Addresses.isInvalid(a)) throw new CommandException(2, "--at " + a + " is not IP:PORT");
        return addresses;
    }
}
