package craneway.gateway.proxy;

import java.nio.charset.StandardCharsets;

/** The fields of one event of a stream that matter here (WHATWG HTML, 9.2.6), taken line by line. Decides without I/O. */
final class StreamEvent {
    private static final String ID = "id:";
    private static final String DATA = "data";

    private final byte[] bytes;
    private final String versionField;
    private String id;
    private String version;
    private boolean data;

    /**
     * Makes an event that has no line yet.
     *
     * @param bytes where its lines stand
     * @param versionField the name, in lower case and with its colon, of the field that tells another weight version
     */
    StreamEvent(byte[] bytes, String versionField) {
        this.bytes = bytes;
        this.versionField = versionField;
    }

    /** Takes a line; false for the empty one that ends the event. */
    boolean line(int from, int end) {
        var to = end > from && bytes[end - 1] == '\r' ? end - 1 : end;
        if (to == from) return false;
        if (begins(from, to, ID)) id = text(from + ID.length(), to);
        else if (begins(from, to, DATA)) data = true;
        else if (begins(from, to, versionField)) version = text(from + versionField.length(), to);
        return true;
    }

    /** Its id, null for none. */
    String id() {
        return id;
    }

    /** The weight version that it tells, null for none. */
    String version() {
        return version;
    }

    boolean hasData() {
        return data;
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
