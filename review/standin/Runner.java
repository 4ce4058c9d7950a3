import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A sound model runner: it beats, runs what is addressed to it and streams events with rising ids, and stops when its caller
 * closes. The path says how: /PREFIX/PIECES/MILLIS gives that many events with that pause.
 */
final class Runner implements AutoCloseable {
    /** A request as it came in. */
    record Asked(String method, String target, Map<String, String> headers, byte[] body) {
        String tryId() {
            return headers.getOrDefault("craneway-try-id", "");
        }
    }

    /** Hears of what reaches and leaves the runner. */
    interface Watcher {
        default void arrived(Runner r, Asked a) {}

        default void ended(Runner r, Asked a, boolean whole) {}
    }

    final String id;
    final String depot;
    final String address;
    final String zone;
    final int slots;
    final AtomicInteger running = new AtomicInteger();
    volatile String state = "in_service";
    /** Tokens that its running requests may hold together. */
    volatile long memory = Long.MAX_VALUE;
    /** What each admitted request holds, in tokens, the newest last. */
    private final LinkedHashMap<String, Long> held = new LinkedHashMap<>();
    /** Steady time in nanoseconds until which it is cold. */
    volatile long coldUntil = Long.MIN_VALUE;

    volatile Watcher watcher = new Watcher() {};
    private final AtomicLong calls = new AtomicLong();
    private final Record record;
    private final List<String> offices;
    private final ServerSocket server;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;
    volatile boolean beating = true;
    volatile long nextBeat;
    private int turn;

    Runner(String id, String depot, String address, String zone, int slots, List<String> offices, Record record)
            throws IOException {
        this.id = id;
        this.depot = depot;
        this.address = address;
        this.zone = zone;
        this.slots = slots;
        this.offices = offices;
        this.record = record;
        var at = address.lastIndexOf(':');
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(
                new InetSocketAddress(
                        InetAddress.getByName(address.substring(0, at)), Integer.parseInt(address.substring(at + 1))),
                1_024);
        thread(this::accept, "runner " + id);
        thread(this::beats, "beats " + id);
    }

    static Thread thread(Runnable r, String name) {
        var t = new Thread(r, name);
        t.setDaemon(true);
        t.start();
        return t;
    }

    boolean cold() {
        return System.nanoTime() < coldUntil;
    }

    private void beats() {
        try {
            while (!closed) {
                if (beating) beat();
                nextBeat = System.nanoTime() + 1_200_000_000L;
                while (!closed && System.nanoTime() < nextBeat) Thread.sleep(5);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Tells its state to one node after another until one acknowledges it. */
    boolean beat() {
        for (var i = 0; i < offices.size(); i++) {
            var to = offices.get(Math.floorMod(turn + i, offices.size()));
            if (beat(to)) {
                turn += i;
                return true;
            }
        }
        return false;
    }

    boolean beat(String to) {
        var warm = Math.max(0, (coldUntil - System.nanoTime()) / 1_000_000);
        if (coldUntil == Long.MIN_VALUE) warm = 0;
        var body = String.format(
                Locale.ROOT,
                "{\"depot\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"edition\":\"v1\",\"slots\":%d,\"state\":\"%s\","
                        + "\"warmup_ms\":%d,\"stage\":\"combined\",\"models\":[{\"name\":\"m\",\"edition\":1,\"adapters\":[]}],"
                        + "\"call_count\":%d}",
                depot, address, zone, slots, state, warm, calls.incrementAndGet());
        var r = Http.call(
                to,
                "PUT",
                "/runners/" + id,
                Map.of("Content-Type", "application/json"),
                body.getBytes(StandardCharsets.UTF_8),
                1_000);
        var ok = r.status / 100 == 2 && r.whole;
        if (warm > 0 || !state.equals("in_service") || !ok)
            record.say("runner " + id + ": beat " + state + ", warmup_ms " + warm + " -> " + r.status);
        return ok;
    }

    private void accept() {
        while (!closed) {
            try {
                var s = server.accept();
                s.setTcpNoDelay(true);
                open.add(s);
                thread(() -> serve(s), "call " + id);
            } catch (IOException e) {
                if (!closed) record.say("runner " + id + ": " + e);
            }
        }
    }

    private void serve(Socket s) {
        try (s) {
            var in = s.getInputStream();
            var out = s.getOutputStream();
            while (!closed) {
                var a = read(in);
                if (!answer(a, s, in, out)) return;
            }
        } catch (IOException e) {
            // its caller has gone
        } finally {
            open.remove(s);
        }
    }

    static Asked read(InputStream in) throws IOException {
        var first = Http.line(in).split(" ");
        var headers = new LinkedHashMap<String, String>();
        for (var l = Http.line(in); !l.isEmpty(); l = Http.line(in)) {
            var at = l.indexOf(':');
            headers.merge(l.substring(0, at).toLowerCase(Locale.ROOT), l.substring(at + 1).trim(), (x, y) -> x + ", " + y);
        }
        var n = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        return new Asked(first[0], first.length > 1 ? first[1] : "", headers, in.readNBytes(n));
    }

    private long heldByAll() {
        return held.values().stream().mapToLong(x -> x).sum();
    }

    /** A request makes more tokens; if memory runs out, the newest one is put back. */
    private void makes(String tryId, int tokens) {
        synchronized (held) {
            held.computeIfPresent(tryId, (k, v) -> v + tokens);
            while (heldByAll() > memory && held.size() > 1) {
                var newest = List.copyOf(held.keySet()).get(held.size() - 1);
                record.say("runner " + id + ": memory of " + memory + " tokens runs out, puts " + newest + " back");
                held.remove(newest);
            }
        }
    }

    private boolean admit(String tryId, long tokens) {
        synchronized (held) {
            if (!held.isEmpty() && heldByAll() + tokens > memory) return false;
            held.put(tryId, tokens);
            return true;
        }
    }

    /** Waits until there is memory for a request that is new, or that was put back. */
    private void awaitMemory(Socket s, String tryId, long tokens) throws IOException {
        synchronized (held) {
            if (held.containsKey(tryId)) return;
        }
        var began = record.now();
        while (!admit(tryId, tokens)) pause(s, 10);
        if (memory < Long.MAX_VALUE && record.now() - began > 5)
            record.say(String.format(Locale.ROOT, "runner %s: goes on with %s after %.0f ms", id, tryId, record.now() - began));
    }

    private String load() {
        return running.get() + ",0," + slots;
    }

    private boolean answer(Asked a, Socket s, InputStream in, OutputStream out) throws IOException {
        if (a.method.equals("GET") && a.target.equals("/health")) {
            short_(out, 200, "Craneway-Runner: " + id + "\r\nCraneway-Cold-Ms: "
                    + (cold() ? (coldUntil - System.nanoTime()) / 1_000_000 : 0) + "\r\n");
            return true;
        }
        if (a.method.equals("GET") && a.target.equals("/report")) {
            short_(out, 200, "Content-Type: application/json\r\n");
            return true;
        }
        var to = a.headers.get("craneway-addressee");
        if (to != null && !to.equals(id)) {
            short_(out, 421, "Craneway-Try-Id: " + a.tryId() + "\r\nCraneway-Not-Run: addressee\r\n");
            return true;
        }
        if (a.tryId().isEmpty()) {
            short_(out, 400, "Craneway-Not-Run: id\r\n");
            return true;
        }
        if (running.get() >= slots) {
            record.say("runner " + id + ": turns " + a.tryId() + " away, being full");
            short_(out, 503, "Craneway-Try-Id: " + a.tryId() + "\r\nCraneway-Not-Run: full\r\n");
            return true;
        }
        running.incrementAndGet();
        watcher.arrived(this, a);
        var whole = false;
        try {
            whole = stream(a, s, out);
            return whole;
        } finally {
            running.decrementAndGet();
            synchronized (held) {
                held.remove(a.tryId());
            }
            watcher.ended(this, a, whole);
        }
    }

    private void short_(OutputStream out, int status, String headers) throws IOException {
        out.write(("HTTP/1.1 " + status + " X\r\n" + headers + "Craneway-Runner-Load: " + load()
                        + "\r\nContent-Length: 0\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
    }

    private boolean stream(Asked a, Socket s, OutputStream out) throws IOException {
        var parts = a.target.split("[/?]");
        var pieces = parts.length > 3 ? Integer.parseInt(parts[2]) : 1;
        var pause = parts.length > 3 ? Integer.parseInt(parts[3]) : 0;
        var tokens = Long.parseLong(a.headers.getOrDefault("craneway-tokens", "0,0").split(",")[0].trim());
        var after = a.headers.containsKey("last-event-id") ? Integer.parseInt(a.headers.get("last-event-id")) : 0;
        out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCraneway-Try-Id: " + a.tryId()
                        + "\r\nCraneway-Postmark: p." + id + "." + a.tryId() + "\r\nCraneway-Weight-Versions: 1\r\n"
                        + "Craneway-Runner-Load: " + load() + "\r\nTransfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
        for (var i = after + 1; i <= pieces; i++) {
            awaitMemory(s, a.tryId(), tokens + 5L * (i - 1));
            pause(s, pause);
            awaitMemory(s, a.tryId(), tokens + 5L * (i - 1));
            var e = "id: " + i + "\ndata: " + id + " " + a.tryId() + " piece " + i + "\n\n";
            out.write((Integer.toHexString(e.length()) + "\r\n" + e + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            makes(a.tryId(), 5);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
        return true;
    }

    /** Works for a while; ends within some ms where the caller has closed. */
    private void pause(Socket s, int millis) throws IOException {
        var until = System.nanoTime() + millis * 1_000_000L;
        s.setSoTimeout(10);
        while (System.nanoTime() < until) {
            if (closed) throw new IOException("the runner has ended");
            try {
                if (s.getInputStream().read() < 0) throw new IOException("its caller has closed");
                throw new IOException("bytes where none are due");
            } catch (SocketTimeoutException e) {
                // its caller still waits
            }
        }
        s.setSoTimeout(0);
    }

    @Override
    public void close() {
        closed = true;
        try {
            server.close();
            for (var s : open) s.close();
        } catch (IOException e) {
            // closed already
        }
    }
}
