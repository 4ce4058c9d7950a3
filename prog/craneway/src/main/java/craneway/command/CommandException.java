package craneway.command;

/** Ends a command with an exit code and a message for standard error. */
public final class CommandException extends RuntimeException {
    private final int exitCode;

    /**
     * Creates a failure.
     *
     * @param exitCode the exit code of the command
     * @param message the message for standard error
     */
    public CommandException(int exitCode, String message) {
        super(message);
        this.exitCode = exitCode;
    }

    /** Returns the exit code of the command. */
    public int exitCode() {
        return exitCode;
    }
}
