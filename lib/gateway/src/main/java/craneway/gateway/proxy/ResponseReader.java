package craneway.gateway.proxy;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Parses one HTTP/1.x response from the bytes of a connection (RFC 9112), without I/O. The parser is strict: bytes that
 * are not a response, or not a chunk where a chunk is due, raise an error and never end the response, since a truncated
 * response must not look complete. Not thread-safe.
 */
final class ResponseReader {
    /** Receives the parsed response. */
    interface Listener {
        /** The head of the final response is complete; interim responses (1xx) are skipped. */
        void onHead(int status, HeaderMap headers);

        /** Bytes of the body, without transfer coding; they are valid during the call only. */
        void onBody(ByteBuffer data);
    }

    private enum State {
        HEAD,
        FIXED_LENGTH,
        CHUNK_SIZE,
        CHUNK_DATA,
        CHUNK_END,
        TRAILERS,
        UNTIL_CLOSE,
        DONE
    }

    private static final int MAX_HEAD_BYTES = 64 * 1024;
    private static final int MAX_LINE_BYTES = 4 * 1024;

    /** Most digits of a body or chunk length; 15 digits fit into a long, in decimal and in hexadecimal. */
    private static final int MAX_LENGTH_DIGITS = 15;

    private static final int MIN_STATUS = 100;
    private static final int SWITCHING_PROTOCOLS = 101;
    private static final int MIN_FINAL_STATUS = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final byte[] EMPTY = {};
    private static final byte[] STATUS_LINE_START = "HTTP/1.".getBytes(StandardCharsets.ISO_8859_1);

    private final boolean bodiless;
    private final Listener listener;
    private State state = State.HEAD;
    private byte[] partial = EMPTY;
    private long remainingBytes;
    private boolean closesConnection;
    private boolean endedByClose;

    /**
     * Creates a parser for one response.
     *
     * @param bodiless whether responses to the request's method have no body, whatever their head says
     */
    ResponseReader(boolean bodiless, Listener listener) {
        this.bodiless = bodiless;
        this.listener = listener;
    }

    boolean isDone() {
        return state == State.DONE;
    }

    /** Whether the connection may carry another request once the response is complete. */
    boolean allowsReuse() {
        return !closesConnection;
    }

    /** Whether the response had no stated length and ended with its connection. */
    boolean endedByClose() {
        return endedByClose;
    }

    /** Handles the close of the connection by the peer; a response without a stated length is complete then. */
    void handleClose() throws IOException {
        endedByClose = state == State.UNTIL_CLOSE;
        if (endedByClose) state = State.DONE;
        else if (state != State.DONE) throw new IOException("connection closed before the end of the response");
    }

    /** Parses bytes up to the end of the response; bytes after the end stay in the buffer. */
    void consume(ByteBuffer buffer) throws IOException {
        while (state != State.DONE && buffer.hasRemaining()) {
            switch (state) {
                case HEAD -> readHead(buffer);
                case FIXED_LENGTH -> readFixedLength(buffer);
                case CHUNK_SIZE -> readChunkSize(buffer);
                case CHUNK_DATA -> readChunkData(buffer);
                case CHUNK_END -> readChunkEnd(buffer);
                case TRAILERS -> readTrailer(buffer);
                case UNTIL_CLOSE -> readUntilClose(buffer);
                default -> throw new IllegalStateException(state.name());
            }
        }
    }

    private void readHead(ByteBuffer buffer) throws IOException {
        var head = readTerminated(buffer, MAX_HEAD_BYTES, true);
        if (head == null) {
            for (var i = 0; i < Math.min(STATUS_LINE_START.length, partial.length); i++)
                if (partial[i] != STATUS_LINE_START[i]) throw new IOException("response does not start with HTTP/1.");
            return;
        }
        var lines = head.split("\r\n");
        var status = parseStatus(lines[0]);
        var headers = new HeaderMap();
        for (var i = 1; i < lines.length; i++) addHeader(lines[i], headers);
        if (status >= MIN_STATUS && status < MIN_FINAL_STATUS && status != SWITCHING_PROTOCOLS) return;
        determineBodyEnd(lines[0], status, headers);
        listener.onHead(status, headers);
    }

    private static int parseStatus(String statusLine) throws IOException {
        var wellFormed = statusLine.length() >= 12 && statusLine.startsWith("HTTP/1.") && statusLine.charAt(8) == ' ';
        if (!wellFormed || statusLine.length() > 12 && statusLine.charAt(12) != ' ')
            throw new IOException("malformed status line");
        var status = 0;
        for (var i = 9; i < 12; i++) {
            var digit = statusLine.charAt(i) - '0';
            if (digit < 0 || digit > 9) throw new IOException("status code is not a number");
            status = status * 10 + digit;
        }
        if (status < MIN_STATUS) throw new IOException("status code is below 100");
        return status;
    }

    private static void addHeader(String line, HeaderMap headers) throws IOException {
        var colon = line.indexOf(':');
        if (colon <= 0 || line.charAt(0) <= ' ' || line.charAt(colon - 1) <= ' ')
            throw new IOException("malformed header line");
        headers.add(
                new HttpString(line.substring(0, colon)),
                line.substring(colon + 1).trim());
    }

    /** Determines from the head where the body ends (RFC 9112, 6.3). */
    private void determineBodyEnd(String statusLine, int status, HeaderMap headers) throws IOException {
        closesConnection = ForwardedHeaders.hasConnectionClose(headers) || statusLine.startsWith("HTTP/1.0");
        if (bodiless || status == NO_CONTENT || status == NOT_MODIFIED) {
            state = State.DONE;
        } else if (headers.contains(Headers.TRANSFER_ENCODING)) {
            state = State.CHUNK_SIZE;
        } else if (headers.contains(Headers.CONTENT_LENGTH)) {
            remainingBytes = parseLength(headers.getFirst(Headers.CONTENT_LENGTH), 10);
            state = remainingBytes == 0 ? State.DONE : State.FIXED_LENGTH;
        } else {
            closesConnection = true;
            state = State.UNTIL_CLOSE;
        }
    }

    private static long parseLength(String digits, int radix) throws IOException {
        if (digits.isEmpty() || digits.length() > MAX_LENGTH_DIGITS)
            throw new IOException("body or chunk length is missing or too long");
        var length = 0L;
        for (var i = 0; i < digits.length(); i++) {
            var digit = Character.digit(digits.charAt(i), radix);
            if (digit < 0) throw new IOException("body or chunk length is not a number");
            length = length * radix + digit;
        }
        return length;
    }

    private void readFixedLength(ByteBuffer buffer) {
        if (deliverRemaining(buffer)) state = State.DONE;
    }

    private void readUntilClose(ByteBuffer buffer) {
        listener.onBody(buffer);
        buffer.position(buffer.limit());
    }

    private void readChunkData(ByteBuffer buffer) {
        if (deliverRemaining(buffer)) state = State.CHUNK_END;
    }

    /** Delivers bytes of a body or chunk of known length; returns true once it is complete. */
    private boolean deliverRemaining(ByteBuffer buffer) {
        var limit = buffer.limit();
        var byteCount = (int) Math.min(remainingBytes, buffer.remaining());
        var end = buffer.position() + byteCount;
        remainingBytes -= byteCount;
        buffer.limit(end);
        listener.onBody(buffer);
        buffer.limit(limit);
        buffer.position(end);
        return remainingBytes == 0;
    }

    private void readChunkSize(ByteBuffer buffer) throws IOException {
        if (partial.length == 0 && Character.digit(buffer.get(buffer.position()), 16) < 0)
            throw new IOException("chunk size does not start with a hexadecimal digit");
        var line = readTerminated(buffer, MAX_LINE_BYTES, false);
        if (line == null) return;
        var extensionStart = line.indexOf(';');
        remainingBytes = parseLength((extensionStart < 0 ? line : line.substring(0, extensionStart)).trim(), 16);
        state = remainingBytes == 0 ? State.TRAILERS : State.CHUNK_DATA;
    }

    private void readChunkEnd(ByteBuffer buffer) throws IOException {
        var line = readTerminated(buffer, 2, false);
        if (line == null) return;
        state = State.CHUNK_SIZE;
    }

    private void readTrailer(ByteBuffer buffer) throws IOException {
        var line = readTerminated(buffer, MAX_LINE_BYTES, false);
        if (line == null) return;
        if (line.isEmpty()) state = State.DONE;
        else addHeader(line, new HeaderMap());
    }

    /**
     * Reads a line, or a head up to and including its empty line. Returns it without the terminator, or null if it is
     * not complete yet; its bytes so far are buffered then.
     */
    private String readTerminated(ByteBuffer buffer, int maxBytes, boolean emptyLine) throws IOException {
        var terminatorBytes = emptyLine ? 4 : 2;
        if (partial.length > 0) return continuePartial(buffer, maxBytes, terminatorBytes);
        var length = terminatedLength(buffer, terminatorBytes);
        if (length > maxBytes || length < 0 && buffer.remaining() >= maxBytes)
            throw new IOException("line or head is longer than its limit");
        var bytes = new byte[length < 0 ? buffer.remaining() : length];
        buffer.get(bytes);
        if (length >= 0) return new String(bytes, 0, length - terminatorBytes, StandardCharsets.ISO_8859_1);
        partial = bytes;
        return null;
    }

    /** Like {@link #readTerminated}, for a line or head whose first bytes are already buffered. */
    private String continuePartial(ByteBuffer buffer, int maxBytes, int terminatorBytes) throws IOException {
        var bufferedBytes = partial.length;
        var combined = Arrays.copyOf(partial, bufferedBytes + buffer.remaining());
        buffer.get(buffer.position(), combined, bufferedBytes, buffer.remaining());
        var length = terminatedLength(ByteBuffer.wrap(combined), terminatorBytes);
        if (length > maxBytes || length < 0 && combined.length >= maxBytes)
            throw new IOException("line or head is longer than its limit");
        if (length < 0) {
            buffer.position(buffer.limit());
            partial = combined;
            return null;
        }
        buffer.position(buffer.position() + length - bufferedBytes);
        partial = EMPTY;
        return new String(combined, 0, length - terminatorBytes, StandardCharsets.ISO_8859_1);
    }

    /** The number of bytes up to and including CRLF (2) or the empty line (4); -1 if the buffer holds no terminator. */
    private static int terminatedLength(ByteBuffer buffer, int terminatorBytes) {
        for (var i = buffer.position(); i + terminatorBytes <= buffer.limit(); i++) {
            if (buffer.get(i) != '\r' || buffer.get(i + 1) != '\n') continue;
            if (terminatorBytes == 2 || buffer.get(i + 2) == '\r' && buffer.get(i + 3) == '\n')
                return i + terminatorBytes - buffer.position();
        }
        return -1;
    }
}
