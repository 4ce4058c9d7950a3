package craneway.command.operator;

import craneway.command.CommandException;
import craneway.http.Addresses;
import java.util.List;
import picocli.CommandLine.Option;

/** The option {@code --at}: the operator addresses that a command sends its requests to. */
public final class OperatorAddresses {
    @Option(
            names = "--at",
            required = true,
            split = ",",
            description = "operator addresses as IP:PORT, separated by commas; the first that replies is used")
    private List<String> addresses;

    /** Returns the addresses in the given order; fails with exit code 2 if one is not IP:PORT. */
    List<String> validAddresses() {
        for (var address : addresses)
            if (Addresses.isInvalid(address)) throw new CommandException(2, "--at " + address + " is not IP:PORT");
        return addresses;
    }
}
