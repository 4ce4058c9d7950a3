package craneway.standin;

import craneway.log.EventLog;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The program {@code standin}: a stand-in model server, trials with faults and the checker of journals. */
@Command(
        name = "standin",
        mixinStandardHelpOptions = true,
        description = "A stand-in model server and a checker of journals, for trials only.",
        subcommands = {RunnerCommand.class, CheckCommand.class, TrialCommand.class})
public final class StandinMain {
    /** Runs the command line and ends the process with its exit code. */
    public static void main(String[] args) {
        EventLog.configureLogging();
        System.exit(new CommandLine(new StandinMain()).execute(args));
    }
}
