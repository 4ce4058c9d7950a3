package craneway.pass;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A runner whose connections a test scripts byte by byte, from accept to close; it records which attempts ran on it.
 */
final class ScriptedRunner implements AutoCloseable {
    /** Handles one connection from its accept on. */
    interface Script {
        void play(Connection connection) throws Exception;
    }

    /** One accepted connection and the requests read from it. */
    static final class Connection {
        final Socket socket;
        /** Index of this connection among those that the runner has accepted, from 0. */
        final int index;

        private final ScriptedRunner runner;
        /** Whether a request has run on this connection. */
        volatile boolean hasRunRequest;

        private Map<String, String> headers = Map.of();

        Connection(ScriptedRunner runner, Socket socket, int number) {
            this.runner = runner;
            this.socket = socket;
            this.index = number;
        }

        /** Returns a header of the request whose head was read last; empty if it is absent. */
        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        /** Reads one request and records it as run; returns its attempt id, or null when the connection has ended. */
        String runRequest() throws IOException {
            var line = readHead();
            if (line == null) return null;
            skipBody();
            hasRunRequest = true;
            runner.ranAttemptIds.add(header("Try"));
            return header("Try");
        }

        /** Reads one request without recording it as run, and returns its request line. */
        String readWithoutRunning() throws IOException {
            var line = readHead();
            if (line != null) skipBody();
            return line;
        }

        /** Reads the head of a request and returns its request line; null when the connection has ended. */
        String readHead() throws IOException {
            var in = socket.getInputStream();
            var line = FakeRunner.readLine(in);
            if (line == null) return null;
            var newHeaders = new TreeMap<String, String>(String.CASE_INSENSITIVE_ORDER);
            for (var field = FakeRunner.readLine(in);
                    field != null && !field.isEmpty();
                    field = FakeRunner.readLine(in))
                newHeaders.put(
                        field.substring(0, field.indexOf(':')).trim(),
                        field.substring(field.indexOf(':') + 1).trim());
            headers = newHeaders;
            return line;
        }

        /** Reads and drops the body of the request whose head was read last. */
        void skipBody() throws IOException {
            readBody();
        }

        /** Reads the body of the request whose head was read last. */
        String readBody() throws IOException {
            var contentLength = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
            return new String(socket.getInputStream().readNBytes(contentLength), StandardCharsets.ISO_8859_1);
        }

        /** Writes these bytes at once. */
        void write(String raw) throws IOException {
            socket.getOutputStream().write(raw.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
        }

        /** Writes each byte as a packet of its own. */
        void writeByteByByte(String raw) throws IOException {
            socket.setTcpNoDelay(true);
            for (var single : raw.getBytes(StandardCharsets.ISO_8859_1)) {
                socket.getOutputStream().write(single);
                socket.getOutputStream().flush();
            }
        }

        /** Closes the connection with a TCP reset. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        /** Closes the connection by a plain close (FIN). */
        void close() throws IOException {
            socket.close();
        }

        /** Closes the sending side only. */
        void halfClose() throws IOException {
            socket.shutdownOutput();
        }

        /** Reads and drops bytes until the peer has closed or reset the connection. */
        void awaitPeerClose() {
            try {
                var in = socket.getInputStream();
                var dropped = new ByteArrayOutputStream();
                for (var next = in.read(); next >= 0; next = in.read()) dropped.write(next);
            } catch (IOException e) {
                // a reset closes it as well
            }
        }
    }

    /** Ids of the attempts that ran here, in order. */
    final List<String> ranAttemptIds = new CopyOnWriteArrayList<>();

    final AtomicInteger acceptedConnectionCount = new AtomicInteger();
    private final ServerSocket listener;
    private final Script script;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final CountDownLatch closedLatch = new CountDownLatch(1);
    private final Thread acceptThread;

    ScriptedRunner(Script script) throws IOException {
        this.script = script;
        listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        acceptThread = startDaemon(this::acceptConnections);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /**
     * Ends as a killed process does: nothing listens any more, and the kernel closes each connection plainly. Waits for
     * the accepting thread, since the port stays open until a pending accept has returned.
     */
    void simulateProcessKill() throws IOException, InterruptedException {
        listener.close();
        acceptThread.join();
        for (var socket : sockets) socket.close();
    }

    /** Blocks a script until the test closes this runner. */
    void awaitTestEnd() throws InterruptedException {
        closedLatch.await();
    }

    private static Thread startDaemon(Runnable task) {
        var thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void acceptConnections() {
        try {
            while (true) {
                var socket = listener.accept();
                sockets.add(socket);
                var connection = new Connection(this, socket, acceptedConnectionCount.getAndIncrement());
                startDaemon(() -> playScript(connection));
            }
        } catch (IOException e) {
            // the listener was closed
        }
    }

    private void playScript(Connection connection) {
        try {
            script.play(connection);
        } catch (Exception e) {
            // the test checks the attempts that ran
        }
    }

    /** Returns a complete response to this attempt; without the attempt header where {@code attemptId} is null. */
    static String response(int status, String attemptId, String extraHeaders, String body) {
        return "HTTP/1.1 " + status + " Said\r\n" + (attemptId == null ? "" : "Try: " + attemptId + "\r\n")
                + extraHeaders + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Returns a complete success with a stamp and a body that name the attempt. */
    static String success(String attemptId) {
        return response(200, attemptId, "Stamp: s-" + attemptId + "\r\n", "body of " + attemptId);
    }

    /** Returns a success that lacks the last three bytes of its body. */
    static String truncatedSuccess(String attemptId) {
        var complete = success(attemptId);
        return complete.substring(0, complete.length() - 3);
    }

    /** Returns the head of a chunked event stream for this attempt. */
    static String streamResponseHead(String attemptId) {
        return "HTTP/1.1 200 OK\r\nTry: " + attemptId + "\r\nStamp: s-" + attemptId
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    /** Returns one chunk with this data. */
    static String chunk(String data) {
        return Integer.toHexString(data.length()) + "\r\n" + data + "\r\n";
    }

    @Override
    public void close() throws IOException {
        closedLatch.countDown();
        listener.close();
        for (var socket : sockets) socket.close();
    }
}
