package craneway.store;

import craneway.log.EventLog;
import craneway.process.InvalidSettingsException;
import craneway.process.StartupSettings;
import craneway.process.ShutdownSignal;
import craneway.process.StoreProcess;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
        name = "store",
        mixinStandardHelpOptions = true,
        version = "store 0.1.0",
        description = "Holds the parts of the control state on a disk.")
public final class StoreMain implements Callable<Integer> {
    @Option(names = "--startup", description = "startup file (JSON); flags go before its values")
    Path startup;

    @Option(names = "--name")
    String name;

    @Option(names = "--zone")
    String zone;

    @Option(names = "--operator", description = "IP:PORT for operators")
    String operator;

    @Option(names = "--platform", description = "IP:PORT for the platform's checks")
    String platform;

    @Option(names = "--partner", description = "IP:PORT for craneway's own processes")
    String partner;

    @Option(names = "--seeds", description = "three IP:PORT of other processes, with commas")
    String seeds;

    @Option(names = "--data", description = "data folder")
    String data;

    @Option(names = "--stores", description = "how many empty stores found a core: 1, 3 or 5")
    String stores;

    public static void main(String[] args) {
        System.exit(new CommandLine(new StoreMain()).execute(args));
    }

    @Override
    public Integer call() throws Exception {
        var flags = new HashMap<String, String>();
        flags.put("name", name);
        flags.put("zone", zone);
        flags.put("operator", operator);
        flags.put("platform", platform);
        flags.put("partner", partner);
        flags.put("seeds", seeds);
        flags.put("data", data);
        flags.put("stores", stores);
        try {
            var s = StartupSettings.load(startup, flags, StartupSettings.STORE_KIND);
            var p = new StoreProcess(s, new EventLog(s.name));
            return ShutdownSignal.awaitAndShutDown(p::shutDownGracefully, p::isSuperseded);
        } catch (InvalidSettingsException e) {
            System.err.println(e.getMessage());
            return 2;
        }
    }
}
