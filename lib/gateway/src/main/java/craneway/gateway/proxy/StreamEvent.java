package craneway.gateway.proxy;

import java.nio.charset.StandardCharsets;

/**
 * Collects the relevant fields of one server-sent event (WHATWG HTML, 9.2.6), line by line: its id, its weight version
 * and whether it has data. No I/O.
 */
final class StreamEvent {
    private static final String ID_FIELD = "id:";
    private static final String DATA_FIELD = "data";

    private final byte[] bytes;
    private final String versionField;
    private String id;
    private String weightVersion;
    private boolean hasData;

    /**
     * Creates an event without lines.
     *
     * @param bytes the array that contains its lines
     * @param versionField the name of the field that states a new weight version, in lower case and with its colon
     */
    StreamEvent(byte[] bytes, String versionField) {
        this.bytes = bytes;
        this.versionField = versionField;
    }

    /** Adds the line from {@code start} to {@code end}; returns false if it is the empty line that ends the event. */
    boolean addLine(int start, int end) {
        var contentEnd = end > start && bytes[end - 1] == '\r' ? end - 1 : end;
        if (contentEnd == start) return false;
        if (startsWith(start, contentEnd, ID_FIELD)) id = text(start + ID_FIELD.length(), contentEnd);
        else if (startsWith(start, contentEnd, DATA_FIELD)) hasData = true;
        else if (startsWith(start, contentEnd, versionField))
            weightVersion = text(start + versionField.length(), contentEnd);
        return true;
    }

    /** The event's id, null if it has none. */
    String id() {
        return id;
    }

    /** The weight version that the event states, null if it states none. */
    String weightVersion() {
        return weightVersion;
    }

    boolean hasData() {
        return hasData;
    }

    private boolean startsWith(int start, int end, String field) {
        if (end - start < field.length()) return false;
        for (var i = 0; i < field.length(); i++) if (bytes[start + i] != field.charAt(i)) return false;
        return true;
    }

    private String text(int start, int end) {
        return new String(bytes, start, end - start, StandardCharsets.UTF_8).trim();
    }
}
