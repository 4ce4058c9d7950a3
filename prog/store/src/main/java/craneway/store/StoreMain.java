package craneway.store;

import craneway.log.EventLog;
import craneway.process.InvalidSettingsException;
import craneway.process.ShutdownSignal;
import craneway.process.StartupSettings;
import craneway.process.StoreProcess;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * The program {@code store}: starts a store process with the values of a startup file and of options, which override
 * the file.
 */
@Command(
        name = "store",
        mixinStandardHelpOptions = true,
        version = "store 0.1.0",
        description = "Keeps replicas of the parts of the control state on disk.")
public final class StoreMain implements Callable<Integer> {
    @Option(names = "--startup", description = "startup file (JSON); options override its values")
    Path startup;

    @Option(names = "--name")
    String name;

    @Option(names = "--zone")
    String zone;

    @Option(names = "--operator", description = "IP:PORT for operators")
    String operator;

    @Option(names = "--platform", description = "IP:PORT for the health checks of the platform")
    String platform;

    @Option(names = "--partner", description = "IP:PORT for other craneway processes")
    String partner;

    @Option(names = "--seeds", description = "three IP:PORT of other processes, separated by commas")
    String seeds;

    @Option(names = "--data", description = "folder for the replicas")
    String data;

    @Option(names = "--stores", description = "number of empty stores that form a new core: 1, 3 or 5")
    String stores;

    /** Runs the program and ends the process with its exit code. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new StoreMain()).execute(args));
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
        options.put("operator", operator);
        options.put("platform", platform);
        options.put("partner", partner);
        options.put("seeds", seeds);
        options.put("data", data);
        options.put("stores", stores);
        try {
            var settings = StartupSettings.load(startup, options, StartupSettings.STORE_KIND);
            var process = new StoreProcess(settings, new EventLog(settings.name));
            return ShutdownSignal.awaitAndShutDown(process::shutDownGracefully, process::isSuperseded);
        } catch (InvalidSettingsException e) {
            System.err.println(e.getMessage());
            return 2;
        }
    }
}
