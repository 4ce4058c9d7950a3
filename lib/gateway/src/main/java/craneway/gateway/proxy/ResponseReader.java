package craneway.gateway.proxy;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Reads one answer from the bytes of a connection (RFC 9112), without I/O. It is strict: what is no answer, or no chunk
 * where one is due, is a problem and never an end, since an answer that ends early must not look complete.
 */
final class ResponseReader {
    /** Takes what was read. */
    interface Sink {
        void head(int status, HeaderMap headers);

        void data(ByteBuffer bytes);
    }

    private enum State {
        HEAD,
        FIXED,
        CHUNK_SIZE,
        CHUNK_DATA,
        CHUNK_END,
        TRAILERS,
        UNTIL_CLOSE,
        DONE
    }

    private static final int MOST_HEAD = 64 * 1024;
    private static final int MOST_LINE = 4 * 1024;
    private static final int MOST_DIGITS = 15;
    private static final int CONTINUE = 100;
    private static final int SWITCHING = 101;
    private static final int FINAL = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final byte[] NONE = {};
    private static final byte[] START = "HTTP/1.".getBytes(StandardCharsets.ISO_8859_1);

    private final boolean bodiless;
    private final Sink sink;
    private State state = State.HEAD;
    private byte[] partial = NONE;
    private long left;
    private boolean closes;
    private boolean endedByClose;

    /**
     * Makes a reader.
     *
     * @param bodiless whether the request's method gets answers without a body, whatever their head says
     */
    ResponseReader(boolean bodiless, Sink sink) {
        this.bodiless = bodiless;
        this.sink = sink;
    }

    boolean done() {
        return state == State.DONE;
    }

    /** Whether the connection may carry another request once the answer is done. */
    boolean keeps() {
        return !closes;
    }

    /** Whether the answer had no length and has ended with its connection. */
    boolean endedByClose() {
        return endedByClose;
    }

    /** The peer has ended the connection; an answer without a length ends with it. */
    void closed() throws IOException {
        endedByClose = state == State.UNTIL_CLOSE;
        if (endedByClose) state = State.DONE;
        else if (state != State.DONE) throw new IOException("closed within the answer");
    }

    /** Takes bytes up to the end of the answer; what follows that stays in the buffer. */
    void take(ByteBuffer b) throws IOException {
        while (state != State.DONE && b.hasRemaining()) {
            switch (state) {
                case HEAD -> head(b);
                case FIXED -> fixed(b);
                case CHUNK_SIZE -> chunkSize(b);
                case CHUNK_DATA -> chunkData(b);
                case CHUNK_END -> chunkEnd(b);
                case TRAILERS -> trailer(b);
                case UNTIL_CLOSE -> untilClose(b);
                default -> throw new IllegalStateException(state.name());
            }
        }
    }

    private void head(ByteBuffer b) throws IOException {
        var text = until(b, MOST_HEAD, true);
        if (text == null) {
            for (var i = 0; i < Math.min(START.length, partial.length); i++)
                if (partial[i] != START[i]) throw new IOException("no answer");
            return;
        }
        var lines = text.split("\r\n");
        var status = status(lines[0]);
        var headers = new HeaderMap();
        for (var i = 1; i < lines.length; i++) header(lines[i], headers);
        if (status >= CONTINUE && status < FINAL && status != SWITCHING) return;
        frame(lines[0], status, headers);
        sink.head(status, headers);
    }

    private static int status(String line) throws IOException {
        var fits = line.length() >= 12 && line.startsWith("HTTP/1.") && line.charAt(8) == ' ';
        if (!fits || line.length() > 12 && line.charAt(12) != ' ') throw new IOException("no status line");
        var status = 0;
        for (var i = 9; i < 12; i++) {
            var digit = line.charAt(i) - '0';
            if (digit < 0 || digit > 9) throw new IOException("no status");
            status = status * 10 + digit;
        }
        if (status < CONTINUE) throw new IOException("no status");
        return status;
    }

    private static void header(String line, HeaderMap headers) throws IOException {
        var at = line.indexOf(':');
        if (at <= 0 || line.charAt(0) <= ' ' || line.charAt(at - 1) <= ' ') throw new IOException("no header");
        headers.add(
                new HttpString(line.substring(0, at)), line.substring(at + 1).trim());
    }

    /** Finds out where the body ends (RFC 9112, 6.3). */
    private void frame(String line, int status, HeaderMap headers) throws IOException {
        closes = ForwardedHeaders.closes(headers) || line.startsWith("HTTP/1.0");
        if (bodiless || status == NO_CONTENT || status == NOT_MODIFIED) {
            state = State.DONE;
        } else if (headers.contains(Headers.TRANSFER_ENCODING)) {
            state = State.CHUNK_SIZE;
        } else if (headers.contains(Headers.CONTENT_LENGTH)) {
            left = number(headers.getFirst(Headers.CONTENT_LENGTH), 10);
            state = left == 0 ? State.DONE : State.FIXED;
        } else {
            closes = true;
            state = State.UNTIL_CLOSE;
        }
    }

    private static long number(String digits, int radix) throws IOException {
        if (digits.isEmpty() || digits.length() > MOST_DIGITS) throw new IOException("no length");
        var n = 0L;
        for (var i = 0; i < digits.length(); i++) {
            var digit = Character.digit(digits.charAt(i), radix);
            if (digit < 0) throw new IOException("no length");
            n = n * radix + digit;
        }
        return n;
    }

    private void fixed(ByteBuffer b) {
        if (part(b)) state = State.DONE;
    }

    private void untilClose(ByteBuffer b) {
        sink.data(b);
        b.position(b.limit());
    }

    private void chunkData(ByteBuffer b) {
        if (part(b)) state = State.CHUNK_END;
    }

    /** Passes on what is left to read of a known length; true once that is all. */
    private boolean part(ByteBuffer b) {
        var limit = b.limit();
        var n = (int) Math.min(left, b.remaining());
        var end = b.position() + n;
        left -= n;
        b.limit(end);
        sink.data(b);
        b.limit(limit);
        b.position(end);
        return left == 0;
    }

    private void chunkSize(ByteBuffer b) throws IOException {
        if (partial.length == 0 && Character.digit(b.get(b.position()), 16) < 0) throw new IOException("no chunk");
        var line = until(b, MOST_LINE, false);
        if (line == null) return;
        var extension = line.indexOf(';');
        left = number((extension < 0 ? line : line.substring(0, extension)).trim(), 16);
        state = left == 0 ? State.TRAILERS : State.CHUNK_DATA;
    }

    private void chunkEnd(ByteBuffer b) throws IOException {
        var line = until(b, 2, false);
        if (line == null) return;
        state = State.CHUNK_SIZE;
    }

    private void trailer(ByteBuffer b) throws IOException {
        var line = until(b, MOST_LINE, false);
        if (line == null) return;
        if (line.isEmpty()) state = State.DONE;
        else header(line, new HeaderMap());
    }

    /** A line without its end, or a head up to its empty line; null while it is not there yet. */
    private String until(ByteBuffer b, int most, boolean emptyLine) throws IOException {
        var marks = emptyLine ? 4 : 2;
        if (partial.length > 0) return pieced(b, most, marks);
        var length = length(b, marks);
        if (length > most || length < 0 && b.remaining() >= most) throw new IOException("no end of a line");
        var bytes = new byte[length < 0 ? b.remaining() : length];
        b.get(bytes);
        if (length >= 0) return new String(bytes, 0, length - marks, StandardCharsets.ISO_8859_1);
        partial = bytes;
        return null;
    }

    /** A line or head whose first bytes came before. */
    private String pieced(ByteBuffer b, int most, int marks) throws IOException {
        var from = partial.length;
        var all = Arrays.copyOf(partial, from + b.remaining());
        b.get(b.position(), all, from, b.remaining());
        var length = length(ByteBuffer.wrap(all), marks);
        if (length > most || length < 0 && all.length >= most) throw new IOException("no end of a line");
        if (length < 0) {
            b.position(b.limit());
            partial = all;
            return null;
        }
        b.position(b.position() + length - from);
        partial = NONE;
        return new String(all, 0, length - marks, StandardCharsets.ISO_8859_1);
    }

    /** How many bytes there are up to and with the line's end, or the empty line; -1 where there is none. */
    private static int length(ByteBuffer b, int marks) {
        for (var i = b.position(); i + marks <= b.limit(); i++) {
            if (b.get(i) != '\r' || b.get(i + 1) != '\n') continue;
            if (marks == 2 || b.get(i + 2) == '\r' && b.get(i + 3) == '\n') return i + marks - b.position();
        }
        return -1;
    }
}
