import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A plain client of HTTP/1.1: one connection for each call unless the caller keeps it. */
final class Http {
    /** What came back; status 0 where no head came, whole only where the body came to its stated end. */
    static final class Reply {
        int status;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = {};
        boolean whole;
        String problem = "";

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        @Override
        public String toString() {
            return "status " + status + (whole ? " whole" : " NOT WHOLE") + ", " + body.length + " bytes"
                    + (problem.isEmpty() ? "" : ", " + problem);
        }
    }

    private Http() {}

    static Socket connect(String address, int timeout) throws IOException {
        var at = address.lastIndexOf(':');
        var s = new Socket();
        s.setTcpNoDelay(true);
        s.connect(
                new InetSocketAddress(address.substring(0, at), Integer.parseInt(address.substring(at + 1))), timeout);
        return s;
    }

    static byte[] request(String method, String target, Map<String, String> headers, byte[] body) {
        var s = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
        headers.forEach((k, v) -> s.append(k).append(": ").append(v).append("\r\n"));
        if (body != null) s.append("Content-Length: ").append(body.length).append("\r\n");
        s.append("\r\n");
        var head = s.toString().getBytes(StandardCharsets.ISO_8859_1);
        var all = new byte[head.length + (body == null ? 0 : body.length)];
        System.arraycopy(head, 0, all, 0, head.length);
        if (body != null) System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }

    static Reply call(
            String address, String method, String target, Map<String, String> headers, byte[] body, int timeout) {
        var all = new LinkedHashMap<>(headers);
        all.putIfAbsent("Host", address);
        all.put("Connection", "close");
        try (var s = connect(address, Math.min(timeout, 1_000))) {
            s.setSoTimeout(timeout);
            s.getOutputStream().write(request(method, target, all, body));
            return read(s.getInputStream(), method);
        } catch (IOException e) {
            var r = new Reply();
            r.problem = e.toString();
            return r;
        }
    }

    /** Reads one answer. */
    static Reply read(InputStream in, String method) {
        var r = new Reply();
        var body = new ByteArrayOutputStream();
        try {
            do head(in, r);
            while (r.status >= 100 && r.status < 200);
            body(in, r, body, method);
            r.whole = true;
        } catch (IOException e) {
            r.problem = e.toString();
        }
        r.body = body.toByteArray();
        return r;
    }

    private static void head(InputStream in, Reply r) throws IOException {
        r.headers.clear();
        var first = line(in);
        if (!first.startsWith("HTTP/1.") || first.length() < 12) throw new IOException("no status line: " + first);
        r.status = Integer.parseInt(first.substring(9, 12));
        for (var l = line(in); !l.isEmpty(); l = line(in)) {
            var at = l.indexOf(':');
            if (at <= 0) throw new IOException("no header: " + l);
            r.headers.put(l.substring(0, at).toLowerCase(Locale.ROOT), l.substring(at + 1).trim());
        }
    }

    private static void body(InputStream in, Reply r, ByteArrayOutputStream out, String method) throws IOException {
        if (method.equals("HEAD") || r.status == 204 || r.status == 304) return;
        if (r.headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
            while (true) {
                var n = Integer.parseInt(line(in).split(";")[0].trim(), 16);
                if (n == 0) break;
                copy(in, out, n);
                if (!line(in).isEmpty()) throw new IOException("no end of a chunk");
            }
            while (!line(in).isEmpty()) continue;
        } else if (r.headers.containsKey("content-length")) {
            copy(in, out, Integer.parseInt(r.headers.get("content-length")));
        } else {
            for (var b = in.read(); b >= 0; b = in.read()) out.write(b);
        }
    }

    private static void copy(InputStream in, ByteArrayOutputStream out, int n) throws IOException {
        for (var left = n; left > 0; ) {
            var b = in.readNBytes(Math.min(left, 8_192));
            if (b.length == 0) throw new EOFException("closed within the body");
            out.write(b);
            left -= b.length;
        }
    }

    static String line(InputStream in) throws IOException {
        var s = new ByteArrayOutputStream();
        for (var b = in.read(); ; b = in.read()) {
            if (b < 0) throw new EOFException("closed");
            if (b == '\n') break;
            if (b != '\r') s.write(b);
        }
        return s.toString(StandardCharsets.ISO_8859_1);
    }
}
