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

/** A runner whose connections a test plays byte by byte, from the accept to the close; it counts what it ran. */
final class ScriptedRunner implements AutoCloseable {
    /** Plays one connection from its accept on. */
    interface Script {
        void play(Connection connection) throws Exception;
    }

    /** One accepted connection and the requests read from it. */
    static final class Connection {
        final Socket socket;
        /** Which connection of this runner it is, from 0. */
        final int number;

        private final ScriptedRunner runner;
        /** Whether a request has run on it. */
        volatile boolean runs;

        private Map<String, String> headers = Map.of();

        Connection(ScriptedRunner runner, Socket socket, int number) {
            this.runner = runner;
            this.socket = socket;
            this.number = number;
        }

        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        /** Reads one request and counts it as run; null where the connection ended. */
        String run() throws IOException {
            var line = head();
            if (line == null) return null;
            body();
            runs = true;
            runner.ran.add(header("Try"));
            return header("Try");
        }

        /** Reads one request that this runner will turn away. */
        String readOnly() throws IOException {
            var line = head();
            if (line != null) body();
            return line;
        }

        String head() throws IOException {
            var in = socket.getInputStream();
            var line = FakeRunner.line(in);
            if (line == null) return null;
            var all = new TreeMap<String, String>(String.CASE_INSENSITIVE_ORDER);
            for (var l = FakeRunner.line(in); l != null && !l.isEmpty(); l = FakeRunner.line(in))
                all.put(
                        l.substring(0, l.indexOf(':')).trim(),
                        l.substring(l.indexOf(':') + 1).trim());
            headers = all;
            return line;
        }

        void body() throws IOException {
            readBody();
        }

        /** Reads the body of the request whose head was read last. */
        String readBody() throws IOException {
            var n = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
            return new String(socket.getInputStream().readNBytes(n), StandardCharsets.ISO_8859_1);
        }

        void write(String raw) throws IOException {
            socket.getOutputStream().write(raw.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().flush();
        }

        /** Every byte a packet of its own. */
        void writeSplit(String raw) throws IOException {
            socket.setTcpNoDelay(true);
            for (var b : raw.getBytes(StandardCharsets.ISO_8859_1)) {
                socket.getOutputStream().write(b);
                socket.getOutputStream().flush();
            }
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        void close() throws IOException {
            socket.close();
        }

        void halfClose() throws IOException {
            socket.shutdownOutput();
        }

        /** Waits until the other side has closed. */
        void untilClosed() {
            try {
                var in = socket.getInputStream();
                var sink = new ByteArrayOutputStream();
                for (var c = in.read(); c >= 0; c = in.read()) sink.write(c);
            } catch (IOException e) {
                // a reset closes it too
            }
        }
    }

    /** Tries that ran here, in order. */
    final List<String> ran = new CopyOnWriteArrayList<>();

    final AtomicInteger accepted = new AtomicInteger();
    private final ServerSocket server;
    private final Script script;
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final CountDownLatch closed = new CountDownLatch(1);
    private final Thread acceptor;

    ScriptedRunner(Script script) throws IOException {
        this.script = script;
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        acceptor = start(this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /**
     * Ends as a killed process does: nothing listens any more, and the kernel ends each connection by a plain close. A thread
     * that waits for connections keeps the port listening until it has returned.
     */
    void die() throws IOException, InterruptedException {
        server.close();
        acceptor.join();
        for (var s : sockets) s.close();
    }

    /** Keeps a script silent until the test is over. */
    void silence() throws InterruptedException {
        closed.await();
    }

    private static Thread start(Runnable r) {
        var t = new Thread(r);
        t.setDaemon(true);
        t.start();
        return t;
    }

    private void accept() {
        try {
            while (true) {
                var s = server.accept();
                sockets.add(s);
                var c = new Connection(this, s, accepted.getAndIncrement());
                start(() -> play(c));
            }
        } catch (IOException e) {
            // closed
        }
    }

    private void play(Connection c) {
        try {
            script.play(c);
        } catch (Exception e) {
            // the test looks at what ran
        }
    }

    /** A complete answer to the try with this id. */
    static String answer(int status, String tryId, String more, String body) {
        return "HTTP/1.1 " + status + " Said\r\n" + (tryId == null ? "" : "Try: " + tryId + "\r\n") + more
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** A complete success with its stamp. */
    static String success(String tryId) {
        return answer(200, tryId, "Stamp: s-" + tryId + "\r\n", "body of " + tryId);
    }

    /** A success that lacks its last bytes. */
    static String shortened(String tryId) {
        var whole = success(tryId);
        return whole.substring(0, whole.length() - 3);
    }

    /** Head of an event stream for the try with this id. */
    static String streamHead(String tryId) {
        return "HTTP/1.1 200 OK\r\nTry: " + tryId + "\r\nStamp: s-" + tryId
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    static String chunk(String s) {
        return Integer.toHexString(s.length()) + "\r\n" + s + "\r\n";
    }

    @Override
    public void close() throws IOException {
        closed.countDown();
        server.close();
        for (var s : sockets) s.close();
    }
}
