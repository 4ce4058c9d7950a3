package craneway.command;

import craneway.log.EventLog;
import picocli.CommandLine;

/** Runs one command and turns its exceptions into an exit code and a message, in the same way for all commands. */
public final class CommandRunner {
    /** The exit code after an exception that carries none. */
    private static final int EXIT_FAILURE = 1;

    private CommandRunner() {}

    /**
     * Parses the arguments and runs the command. If an exception ends it, its message goes to standard error.
     *
     * @param command an object annotated as a picocli command
     * @param arguments the arguments after the command's name
     * @return the command's exit code; that of a {@link CommandException}, or 1 for any other exception
     */
    public static int run(Object command, String... arguments) {
        EventLog.configureLogging();
        return new CommandLine(command)
                .setExecutionExceptionHandler((exception, line, result) -> reportFailure(exception))
                .execute(arguments);
    }

    private static int reportFailure(Exception exception) {
        if (exception instanceof CommandException failure) {
            System.err.println(failure.getMessage());
            return failure.exitCode();
        }
        System.err.println(exception);
        return EXIT_FAILURE;
    }
}
