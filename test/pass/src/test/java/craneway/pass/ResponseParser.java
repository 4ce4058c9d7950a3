package craneway.pass;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.SocketTimeoutException;
import java.util.Map;
import java.util.TreeMap;

/** Parses HTTP responses the way a client does that relies on message framing alone (RFC 9112, section 6.3). */
final class ResponseParser {
    private static final String PROCESSING_STATUS_LINE = "HTTP/1.1 102 Processing";

    private ResponseParser() {}

    /** Reads an interim (1xx) response and returns its status code. */
    static int readInterimStatus(InputStream in) throws IOException {
        var status = Integer.parseInt(FakeRunner.readLine(in).split(" ")[1]);
        var line = FakeRunner.readLine(in);
        while (line != null && !line.isEmpty()) line = FakeRunner.readLine(in);
        return status;
    }

    /** Reads a final response; interim responses are not skipped. */
    static ProxyRig.Response read(InputStream in) throws IOException {
        return read(FakeRunner.readLine(in), in);
    }

    /**
     * Reads a final response after any number of "102 Processing" responses, which a half-closed client may receive.
     */
    static ProxyRig.Response readAfterInterim(InputStream in) throws IOException {
        var line = FakeRunner.readLine(in);
        while (PROCESSING_STATUS_LINE.equals(line)) {
            assertEquals("", FakeRunner.readLine(in), "an interim response consists of its status line only");
            line = FakeRunner.readLine(in);
        }
        return read(line, in);
    }

    private static ProxyRig.Response read(String statusLine, InputStream in) throws IOException {
        if (statusLine == null) return new ProxyRig.Response(0, Map.of(), new byte[0], false);
        var headers = new TreeMap<String, String>(String.CASE_INSENSITIVE_ORDER);
        for (var field = FakeRunner.readLine(in); field != null && !field.isEmpty(); field = FakeRunner.readLine(in))
            headers.put(
                    field.substring(0, field.indexOf(':')).trim(),
                    field.substring(field.indexOf(':') + 1).trim());
        var body = new ByteArrayOutputStream();
        var complete = readBody(in, body, headers);
        return new ProxyRig.Response(Integer.parseInt(statusLine.split(" ")[1]), headers, body.toByteArray(), complete);
    }

    /**
     * Reads a body framed as in RFC 9112, section 6.3: by chunks, by a length, or by the end of the connection, which
     * must not be a reset. Returns whether the body is complete.
     */
    private static boolean readBody(InputStream in, ByteArrayOutputStream body, Map<String, String> headers)
            throws IOException {
        if (headers.containsKey("transfer-encoding")) return readChunked(in, body);
        if (headers.containsKey("content-length"))
            return readFixedLength(in, body, Integer.parseInt(headers.get("content-length")));
        return readUntilClosed(in, body);
    }

    private static boolean readUntilClosed(InputStream in, ByteArrayOutputStream body) throws IOException {
        try {
            for (var next = in.read(); next >= 0; next = in.read()) body.write(next);
            return true;
        } catch (SocketTimeoutException e) {
            throw e;
        } catch (IOException e) {
            return false;
        }
    }

    private static boolean readFixedLength(InputStream in, ByteArrayOutputStream body, int length) throws IOException {
        var bytes = in.readNBytes(length);
        body.writeBytes(bytes);
        return bytes.length == length;
    }

    private static boolean readChunked(InputStream in, ByteArrayOutputStream body) {
        try {
            for (var sizeLine = FakeRunner.readLine(in); sizeLine != null; sizeLine = FakeRunner.readLine(in)) {
                var size = Integer.parseInt(sizeLine, 16);
                if (size == 0) return FakeRunner.readLine(in) != null;
                var bytes = in.readNBytes(size);
                body.writeBytes(bytes);
                if (bytes.length < size || FakeRunner.readLine(in) == null) return false;
            }
        } catch (IOException e) {
            return false;
        }
        return false;
    }
}
