package craneway.router;

import craneway.log.EventLog;
import craneway.process.InvalidSettingsException;
import craneway.process.RouterProcess;
import craneway.process.StartupSettings;
import craneway.process.ShutdownSignal;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
        name = "router",
        mixinStandardHelpOptions = true,
        version = "router 0.1.0",
        description = "Takes transactions, decides where they run, forwards once and streams the reply.")
public final class RouterMain implements Callable<Integer> {
    @Option(names = "--startup", description = "startup file (JSON); flags go before its values")
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

    @Option(names = "--platform", description = "IP:PORT for the platform's checks")
    String platform;

    @Option(names = "--partner", description = "IP:PORT for craneway's own processes")
    String partner;

    @Option(names = "--seeds", description = "three IP:PORT of other processes, with commas")
    String seeds;

    public static void main(String[] args) {
        System.exit(new CommandLine(new RouterMain()).execute(args));
    }

    @Override
    public Integer call() throws Exception {
        var flags = new HashMap<String, String>();
        flags.put("name", name);
        flags.put("zone", zone);
        flags.put("requester", requester);
        flags.put("runner", runner);
        flags.put("operator", operator);
        flags.put("platform", platform);
        flags.put("partner", partner);
        flags.put("seeds", seeds);
        try {
            var s = StartupSettings.load(startup, flags, StartupSettings.ROUTER_KIND);
            var p = new RouterProcess(s, new EventLog(s.name));
            return ShutdownSignal.awaitAndShutDown(p::shutDownGracefully, p::isSuperseded);
        } catch (InvalidSettingsException e) {
            System.err.println(e.getMessage());
            return 2;
        }
    }
}
