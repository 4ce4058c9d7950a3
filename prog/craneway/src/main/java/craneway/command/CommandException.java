package craneway.command;

public final class CommandException extends RuntimeException {
    private final int exitCode;

    public CommandException(int code, String text) {
        super(text);
        this.exitCode = code;
    }

    public int exitCode() {
        return exitCode;
    }
}
