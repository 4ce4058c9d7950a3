package craneway.command;

/** Ends a command with an exit code and a message for standard error. */
public final class CommandFailure extends RuntimeException {
    private final int code;

    /**
     * Creates a failure.
     *
     * @param exitCode the exit code of the command
     * @param message the message for standard error
     */
    public CommandFailure(int exitCode, String message) {
        super(message);
        this.code = exitCode;
    }

    /** Returns the exit code of the command. */
    public int code() {
        return code;
    }
}
