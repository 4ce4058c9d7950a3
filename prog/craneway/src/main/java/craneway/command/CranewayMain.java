package craneway.command;

import craneway.command.drill.DrillCommand;
import craneway.command.fleet.FleetCommand;
import craneway.command.load.LoadCommand;
import craneway.command.measure.MeasureCommand;
import craneway.command.operator.CoreCommand;
import craneway.command.operator.IntentCommand;
import craneway.command.operator.ManifestCommand;
import craneway.command.operator.PlanCommand;
import craneway.command.operator.StatusCommand;
import craneway.command.operator.UsageCommand;
import craneway.command.operator.ZoneCommand;
import craneway.command.replay.ProofCommand;
import craneway.command.replay.ReplayCommand;
import picocli.CommandLine.Command;

/** The command line {@code craneway}: commands for operators, load generation, drills, simulation and measurements. */
@Command(
        name = "craneway",
        mixinStandardHelpOptions = true,
        version = "craneway 0.1.0",
        description = "Operates a craneway core: manifests, intents, plans, status, fleets and load.",
        subcommands = {
            ManifestCommand.class,
            IntentCommand.class,
            PlanCommand.class,
            ZoneCommand.class,
            StatusCommand.class,
            UsageCommand.class,
            CoreCommand.class,
            FleetCommand.class,
            LoadCommand.class,
            DrillCommand.class,
            ReplayCommand.class,
            ProofCommand.class,
            MeasureCommand.class
        })
public final class CranewayMain {
    /** Runs the command line and ends the process with its exit code. */
    public static void main(String[] args) {
        System.exit(run(args));
    }

    /** Runs the command line in this process and returns its exit code. */
    public static int run(String... args) {
        return CommandRunner.run(new CranewayMain(), args);
    }
}
