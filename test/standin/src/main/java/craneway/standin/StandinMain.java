package craneway.standin;

import craneway.log.EventLog;
import picocli.CommandLine;
import picocli.CommandLine.Command;

@Command(
        name = "standin",
        mixinStandardHelpOptions = true,
        description = "Stand-ins and the checker, for trials only.",
        subcommands = {RunnerCommand.class, CheckCommand.class, TrialCommand.class})
public final class StandinMain {
    public static void main(String[] args) {
        EventLog.configureLogging();
        System.exit(new CommandLine(new StandinMain()).execute(args));
    }
}
