package craneway.state.disk;

/** The disk refused or failed an operation; what it was to make lasting is not. */
public final class DiskException extends RuntimeException {
    private final boolean isDiskFull;

    /** A problem whose cause is, or is not, that no space is left. */
    public DiskException(boolean full, String text) {
        super(text);
        this.isDiskFull = full;
    }

    /** Whether the cause is that no space is left. */
    public boolean isDiskFull() {
        return isDiskFull;
    }
}
