package craneway.data.request;

/**
 * Scans a stream of server-sent events, in chunks of any size, for its end marker {@code data: [DONE]}, and counts
 * the data events before it. Carriage returns are ignored. Not thread-safe.
 */
public final class SseScanner {
    private static final byte[] DONE_LINE = "data: [DONE]".getBytes();

    /** Length of {@code data:}, with which {@link #DONE_LINE} and every data line begin. */
    private static final int DATA_PREFIX_LENGTH = 5;

    private int lineLength;
    private boolean matchesDoneLine = true;
    private boolean doneLineSeen;
    private boolean endSeen;
    private boolean matchesDataPrefix = true;
    private int dataEvents;

    /** Scans the first {@code length} bytes of a chunk. */
    public void scan(byte[] chunk, int length) {
        for (var i = 0; i < length; i++) scan(chunk[i]);
    }

    private void scan(byte next) {
        if (next == '\r') return;
        if (next != '\n') {
            matchesDoneLine &= lineLength < DONE_LINE.length && DONE_LINE[lineLength] == next;
            matchesDataPrefix &= lineLength >= DATA_PREFIX_LENGTH || DONE_LINE[lineLength] == next;
            lineLength++;
            return;
        }
        endSeen = doneLineSeen && lineLength == 0;
        var isDoneLine = matchesDoneLine && lineLength == DONE_LINE.length;
        if (matchesDataPrefix && lineLength >= DATA_PREFIX_LENGTH && !isDoneLine) dataEvents++;
        doneLineSeen = endSeen || isDoneLine;
        lineLength = 0;
        matchesDoneLine = matchesDataPrefix = true;
    }

    /** Returns the number of complete data lines so far, without the end marker. */
    public int eventCount() {
        return dataEvents;
    }

    /**
     * Returns whether the stream so far ends with the end marker, with or without the empty line that follows it.
     */
    public boolean isDone() {
        return doneLineSeen && lineLength == 0;
    }

    /** Returns whether the stream so far ends with the end marker and the empty line that completes its event. */
    public boolean isComplete() {
        return endSeen && lineLength == 0;
    }
}
