package craneway.state.disk;

/** A disk operation failed or was refused. What the operation should have made durable is not durable. */
public final class DiskException extends RuntimeException {
    private final boolean isDiskFull;

    /** Creates the exception; the flag tells whether the cause is that no space is left. */
    public DiskException(boolean diskFull, String message) {
        super(message);
        this.isDiskFull = diskFull;
    }

    /** Returns whether the cause is that no space is left. */
    public boolean isDiskFull() {
        return isDiskFull;
    }
}
