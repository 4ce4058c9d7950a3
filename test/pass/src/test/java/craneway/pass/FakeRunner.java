package craneway.pass;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A runner that reads complete requests and responds to each by a script, byte by byte where a test wants it. Each
 * connection is served by a thread of its own; {@link ScriptedRunner} is for tests that script a whole connection.
 */
final class FakeRunner implements AutoCloseable {
    /** A request as the runner received it, and the connection to respond on. */
    record Request(String requestLine, Map<String, String> headers, byte[] body, Socket socket) {
        String header(String name) {
            return headers.get(name);
        }

        /** Writes these bytes to the connection as they are. */
        void write(String raw) throws IOException {
            socket.getOutputStream().write(raw.getBytes("ISO-8859-1"));
            socket.getOutputStream().flush();
        }

        /** Responds 200 with this body, the request's attempt id and a stamp. */
        void respondOk(String body) throws IOException {
            write("HTTP/1.1 200 OK\r\nTry: " + header("try") + "\r\nStamp: s\r\nContent-Length: " + body.length()
                    + "\r\n\r\n" + body);
        }

        /** Writes the head of a chunked event stream whose stamp names the addressed runner. */
        void startStream() throws IOException {
            write("HTTP/1.1 200 OK\r\nTry: " + header("try") + "\r\nStamp: " + header("addressee")
                    + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        }

        /** Writes one chunk with this text. */
        void writeChunk(String data) throws IOException {
            write(Integer.toHexString(data.length()) + "\r\n" + data + "\r\n");
        }

        /** Closes the connection with a TCP reset. */
        void resetConnection() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    /** Responds to one request. */
    interface Script {
        void respond(Request request) throws Exception;
    }

    final List<Request> receivedRequests = new CopyOnWriteArrayList<>();
    private final BlockingQueue<Request> requestQueue = new LinkedBlockingQueue<>();
    private final ServerSocket listener;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private volatile Script script;

    FakeRunner(Script script) throws IOException {
        this.script = script;
        listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        startDaemon(this::acceptConnections);
    }

    /** Replaces the script for all later requests. */
    void setScript(Script newScript) {
        script = newScript;
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Returns the next request that no earlier call returned; null if none comes within 5 s. */
    Request awaitRequest() throws InterruptedException {
        return requestQueue.poll(5, TimeUnit.SECONDS);
    }

    int acceptedConnectionCount() {
        return sockets.size();
    }

    private static void startDaemon(Runnable task) {
        var thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptConnections() {
        try {
            while (true) {
                var connection = listener.accept();
                sockets.add(connection);
                startDaemon(() -> serveConnection(connection));
            }
        } catch (IOException e) {
            // the listener was closed
        }
    }

    private void serveConnection(Socket connection) {
        try {
            var in = connection.getInputStream();
            for (var request = readRequest(in, connection); request != null; request = readRequest(in, connection)) {
                receivedRequests.add(request);
                requestQueue.add(request);
                script.respond(request);
            }
        } catch (Exception e) {
            // the test checks the received requests
        }
    }

    /** Reads one request; null when the connection has ended. */
    static Request readRequest(InputStream in, Socket connection) throws IOException {
        var requestLine = readLine(in);
        if (requestLine == null) return null;
        var headers = new TreeMap<String, String>(String.CASE_INSENSITIVE_ORDER);
        for (var field = readLine(in); field != null && !field.isEmpty(); field = readLine(in))
            headers.put(
                    field.substring(0, field.indexOf(':')).trim(),
                    field.substring(field.indexOf(':') + 1).trim());
        var contentLength = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        return new Request(requestLine, headers, in.readNBytes(contentLength), connection);
    }

    /** Reads one line without its line end; null when the input ends before the line does. */
    static String readLine(InputStream in) throws IOException {
        var line = new ByteArrayOutputStream();
        for (var next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) return null;
            if (next != '\r') line.write(next);
        }
        return line.toString("ISO-8859-1");
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (var socket : sockets) socket.close();
    }
}
