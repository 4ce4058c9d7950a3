package craneway.gateway.proxy;

import java.nio.ByteBuffer;

/**
 * Where a stream of events stands: id and weight version of the last event passed on, and whether the events that come
 * next follow it. Ids rise; where they are whole numbers a run that goes on leaves out no more than the stream's largest
 * step so far, and it is of the same weights. Decides without I/O.
 */
final class StreamPosition {
    private static final int MOST_DIGITS = 18;
    private static final int NO_NUMBER = -1;

    private String lastId;
    private long lastNumber = NO_NUMBER;
    private long largestStep;
    private boolean resumable;
    private boolean joining;
    private boolean any;
    private final String versionField;
    private String version;

    /**
     * Makes the position of a stream that begins.
     *
     * @param after the id after which the client asked the stream to go on, null where it asked for the whole
     * @param versionField the field by which an event tells another version of the weights
     */
    StreamPosition(String after, String versionField) {
        this.versionField = versionField;
        if (after == null || after.isBlank()) return;
        lastId = after.trim();
        lastNumber = number(lastId);
        joining = true;
    }

    /** The id of the last event passed on, or the one after which the client asked the stream to go on; null for none. */
    String lastId() {
        return lastId;
    }

    /** Whether another run may go on: an event was passed on, and the last one that carried data had an id. */
    boolean resumable() {
        return resumable;
    }

    /** Whether any event was passed on. */
    boolean any() {
        return any;
    }

    /** The version of the weights that made the last event passed on; null where none was told. */
    String version() {
        return version;
    }

    /** A run begins whose head tells this version of the weights, null for none; false where it may not go on with these. */
    boolean begins(String told) {
        if (joining && version != null && told != null && !told.equals(version)) return false;
        if (told != null) version = told;
        return true;
    }

    /** The events that come next are of another run, which is to go on after the last id. */
    void resume() {
        joining = true;
    }

    /** Looks at whole events before they are passed on; false where one does not follow the one before it. */
    boolean follows(ByteBuffer events) {
        var bytes = events.array();
        var end = events.arrayOffset() + events.limit();
        var event = new StreamEvent(bytes, versionField);
        for (var at = events.arrayOffset() + events.position(); at < end; ) {
            var lineEnd = lineEnd(bytes, at, end);
            if (!event.line(at, lineEnd)) {
                if (!passed(event)) return false;
                event = new StreamEvent(bytes, versionField);
            }
            at = lineEnd + 1;
        }
        return true;
    }

    private static int lineEnd(byte[] bytes, int from, int end) {
        var at = from;
        while (at < end && bytes[at] != '\n') at++;
        return at;
    }

    private boolean passed(StreamEvent event) {
        if (event.version() != null) version = event.version();
        if (event.id() == null) {
            if (event.hasData()) resumable = false;
            any |= event.hasData();
            return true;
        }
        var number = number(event.id());
        if (joining ? !goesOn(event.id(), number) : !rises(event.id(), number)) return false;
        if (!joining && number > lastNumber && lastNumber != NO_NUMBER)
            largestStep = Math.max(largestStep, number - lastNumber);
        joining = false;
        lastId = event.id();
        lastNumber = number;
        resumable = true;
        any = true;
        return true;
    }

    private boolean rises(String id, long number) {
        if (lastId == null) return true;
        if (number == NO_NUMBER || lastNumber == NO_NUMBER) return !id.equals(lastId);
        return number > lastNumber;
    }

    private boolean goesOn(String id, long number) {
        if (!rises(id, number)) return false;
        var known = lastNumber != NO_NUMBER && number != NO_NUMBER && largestStep > 0;
        return !known || number - lastNumber <= largestStep;
    }

    private static long number(String id) {
        var whole = !id.isEmpty() && id.length() <= MOST_DIGITS && id.chars().allMatch(c -> c >= '0' && c <= '9');
        return whole ? Long.parseLong(id) : NO_NUMBER;
    }
}
