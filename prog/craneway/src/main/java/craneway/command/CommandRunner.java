package craneway.command;

import craneway.log.EventLog;
import picocli.CommandLine;

/** Runs one command with the exit codes and messages that all commands share. */
public final class CommandRunner {
    private static final int FAILED = 1;

    private CommandRunner() {}

    /**
     * Parses the arguments, runs the command and prints the message of an exception that ended it on standard error.
     *
     * @param command an object annotated as a picocli command
     * @param arguments what stands behind the command's name
     * @return the command's exit code
     */
    public static int run(Object command, String... arguments) {
        EventLog.configureLogging();
        return new CommandLine(command)
                .setExecutionExceptionHandler((exception, line, result) -> report(exception))
                .execute(arguments);
    }

    private static int report(Exception exception) {
        if (exception instanceof CommandException told) {
            System.err.println(told.getMessage());
            return told.exitCode();
        }
        System.err.println(exception);
        return FAILED;
    }
}
