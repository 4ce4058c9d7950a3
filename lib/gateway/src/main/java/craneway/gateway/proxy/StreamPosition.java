package craneway.gateway.proxy;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Where a stream of events stands: the id of the last event passed on, and whether the events of a run that is to go on
 * after it do so. Ids rise; where they are whole numbers a run that goes on leaves out no more than the stream's largest
 * step so far. Decides without I/O.
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

    /**
     * Makes the position of a stream that begins.
     *
     * @param after the id after which the client asked the stream to go on, null where it asked for the whole
     */
    StreamPosition(String after) {
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

    /** The events that come next are of another run, which is to go on after the last id. */
    void resume() {
        joining = true;
    }

    /** Looks at whole events before they are passed on; false where the first does not follow the last one passed on. */
    boolean follows(ByteBuffer events) {
        var bytes = events.array();
        var end = events.arrayOffset() + events.limit();
        var event = new Event(bytes);
        for (var at = events.arrayOffset() + events.position(); at < end; ) {
            var lineEnd = lineEnd(bytes, at, end);
            if (!event.line(at, lineEnd)) {
                if (!passed(event)) return false;
                event = new Event(bytes);
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

    private boolean passed(Event event) {
        if (event.id == null) {
            if (event.data) resumable = false;
            any |= event.data;
            return true;
        }
        var number = number(event.id);
        if (joining && !goesOn(event.id, number)) return false;
        if (!joining && number > lastNumber && lastNumber != NO_NUMBER)
            largestStep = Math.max(largestStep, number - lastNumber);
        joining = false;
        lastId = event.id;
        lastNumber = number;
        resumable = true;
        any = true;
        return true;
    }

    private boolean goesOn(String id, long number) {
        if (lastId == null) return true;
        if (number == NO_NUMBER || lastNumber == NO_NUMBER) return !id.equals(lastId);
        return number > lastNumber && (largestStep == 0 || number - lastNumber <= largestStep);
    }

    private static long number(String id) {
        var whole = !id.isEmpty() && id.length() <= MOST_DIGITS && id.chars().allMatch(c -> c >= '0' && c <= '9');
        return whole ? Long.parseLong(id) : NO_NUMBER;
    }

    /** The fields of one event that matter here. */
    private static final class Event {
        private final byte[] bytes;
        private String id;
        private boolean data;

        Event(byte[] bytes) {
            this.bytes = bytes;
        }

        /** Takes a line; false for the empty one that ends the event. */
        boolean line(int from, int end) {
            var to = end > from && bytes[end - 1] == '\r' ? end - 1 : end;
            if (to == from) return false;
            if (begins(from, to, "id:")) id = text(from + 3, to);
            else if (begins(from, to, "data")) data = true;
            return true;
        }

        private boolean begins(int from, int to, String name) {
            if (to - from < name.length()) return false;
            for (var i = 0; i < name.length(); i++) if (bytes[from + i] != name.charAt(i)) return false;
            return true;
        }

        private String text(int from, int to) {
            return new String(bytes, from, to - from, StandardCharsets.UTF_8).trim();
        }
    }
}
