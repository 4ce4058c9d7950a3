package craneway.state.disk;

/** A segment of a format that this version does not know; nothing of the folder may be changed. */
public final class UnknownFormatException extends RuntimeException {
    /** Names the file, the format found and the newest one known. */
    public UnknownFormatException(String name, int format) {
        super(name + " has the data format " + format + "; this version knows formats up to " + SegmentHeader.FORMAT
                + ". Nothing was changed: start a newer version on this folder");
    }
}
