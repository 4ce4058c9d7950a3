package craneway.state.disk;

/** Synced bytes are missing or damaged, so the folder no longer holds everything that was acknowledged. */
public final class DiskLostException extends RuntimeException {
    /** Creates the exception with the name of the file and what is wrong with it. */
    public DiskLostException(String message) {
        super(message);
    }
}
