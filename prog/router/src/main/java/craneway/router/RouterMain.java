package craneway.router;

import craneway.log.EventLog;
import craneway.process.InvalidSettingsException;
import craneway.process.RouterProcess;
import craneway.process.ShutdownSignal;
import craneway.process.StartupSettings;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * The program {@code router}: starts a router process with the values of a startup file and of options, which override
 * the file.
 */
@Command(
        name = "router",
        mixinStandardHelpOptions = true,
        version = "router 0.1.0",
        description =
                "Accepts transactions, decides where they run, forwards them at most once and streams the replies.")
public final class RouterMain implements Callable<Integer> {
    @Option(names = "--startup", description = "startup file (JSON); options override its values")
    Path startup;

    @Option(names = "--name")
    String name;

    @Option(names = "--zone")
    String zone;

    @Option(names = "--requester", description = "IP:PORT for requesters")
    String requester;

    @Option(names = "--runner", description = "IP:PORT for runners")
    String runner;

    @Option(names = "--operator", description = "IP:PORT for operators")
    String operator;

    @Option(names = "--platform", description = "IP:PORT for the health checks of the platform")
    String platform;

    @Option(names = "--partner", description = "IP:PORT for other craneway processes")
    String partner;

    @Option(names = "--seeds", description = "three IP:PORT of other processes, separated by commas")
    String seeds;

    /** Runs the program and ends the process with its exit code. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new RouterMain()).execute(args));
    }

    /**
     * Runs until the process is asked to stop. Returns 0 after a clean stop, 2 if the startup values are invalid, and 3
     * if another process with the same name and a newer incarnation has taken over.
     */
    @Override
    public Integer call() throws Exception {
        var options = new HashMap<String, String>();
        options.put("name", name);
        options.put("zone", zone);
        options.put("requester", requester);
        options.put("runner", runner);
        options.put("operator", operator);
        options.put("platform", platform);
        options.put("partner", partner);
        options.put("seeds", seeds);
        try {
            var settings = StartupSettings.load(startup, options, StartupSettings.ROUTER_KIND);
            var process = new RouterProcess(settings, new EventLog(settings.name));
            return ShutdownSignal.awaitAndShutDown(process::shutDownGracefully, process::isSuperseded);
        } catch (InvalidSettingsException e) {
            System.err.println(e.getMessage());
            return 2;
        }
    }
}
