package craneway.state.disk;

/** A segment has a format that this version does not know. Nothing in the folder may be changed then. */
public final class UnknownFormatException extends RuntimeException {
    /** Creates the exception with the name of the file and the format found. */
    public UnknownFormatException(String fileName, int format) {
        super(fileName + " has the data format " + format + "; this version knows formats up to "
                + SegmentHeader.CURRENT_FORMAT + ". Nothing was changed: start a newer version on this folder");
    }
}
