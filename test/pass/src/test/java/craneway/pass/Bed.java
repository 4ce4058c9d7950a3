package craneway.pass;

import craneway.control.node.Membership;
import craneway.gateway.proxy.ProtocolNames;
import craneway.gateway.proxy.ProxyServer;
import craneway.model.event.Event;
import craneway.model.manifest.ManifestReader;
import craneway.model.node.NodeSettings;
import craneway.state.message.Node;
import craneway.state.record.Rows;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.io.InputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** One router's request path between raw sockets: a requester on one side, fake runners on the other. */
final class Bed implements AutoCloseable {
    static final String MANIFEST =
            """
        {"name":"bed","regions":["ra","rb"],"zones":[{"name":"a","region":"ra"},{"name":"b","region":"rb"}],
         "services":[{"name":"s","work":[],"cells":[{"name":"a","zone":"a"},{"name":"b","zone":"b"}],
           "engine":{"healthPath":"/health","connections":100,"coldMs":3000,"coldPerSecond":9.2,"slots":8,"cacheTokens":100000}}],
         "limits":{"headerBytes":16384,"bodyBytes":100000,"headerMs":3000,"idleMs":15000},
         "routes":[
          {"name":"once","host":"h.example","prefix":"/once/","kind":"once","deadlineMs":5000,"targetMs":500,"shares":[{"service":"s","weight":1}],"tries":2},
          {"name":"thrice","host":"h.example","prefix":"/thrice/","kind":"once","deadlineMs":5000,"targetMs":500,"shares":[{"service":"s","weight":1}],"tries":3},
          {"name":"again","host":"h.example","prefix":"/again/","kind":"repeatable","deadlineMs":5000,"targetMs":500,"shares":[{"service":"s","weight":1}],"tries":2},
          {"name":"stream","host":"h.example","prefix":"/stream/","kind":"stream","deadlineMs":5000,"targetMs":500,"shares":[{"service":"s","weight":1}],"tries":1},
          {"name":"resume","host":"h.example","prefix":"/resume/","kind":"stream","deadlineMs":5000,"targetMs":500,"resume":true,"shares":[{"service":"s","weight":1}],"tries":2},
          {"name":"home","host":"h.example","prefix":"/home/","kind":"once","deadlineMs":5000,"targetMs":400,"regions":["rb"],"shares":[{"service":"s","weight":1}],"tries":1}]}
        """;

    record Answer(int status, Map<String, String> headers, byte[] body, boolean whole) {
        String text() {
            return new String(body, java.nio.charset.StandardCharsets.ISO_8859_1);
        }
    }

    private static final int FIRST_PORT = 20_000;
    private static final int LAST_PORT = 32_000;
    private static final int STRIDE = 20;
    private static final int STARTS = 500;
    /** Builds that run side by side start at ports of their own. */
    private static final AtomicInteger PORT =
            new AtomicInteger(FIRST_PORT + (int) (ProcessHandle.current().pid() % STARTS) * STRIDE);

    final List<String> noted = new CopyOnWriteArrayList<>();
    final ProxyServer server;
    final NodeSettings seat;
    private final Rows.Service service = new Rows.Service();
    private final Rows.Manifest topic = new Rows.Manifest();
    private volatile Membership.CoreView view;
    private volatile long advanced;
    private volatile long stopped;
    private volatile PlannedFault fault;

    Bed() throws IOException {
        service.name = "s";
        service.regions.addAll(List.of("ra", "rb"));
        service.cells.addAll(List.of("a", "b"));
        service.zones.addAll(List.of("a", "b"));
        service.cellRegions.addAll(List.of("ra", "rb"));
        service.weights.addAll(List.of(1, 1));
        service.homeCells = new int[400];
        Arrays.fill(service.homeCells, 0);
        Arrays.fill(service.homeCells, 200, 300, 1);
        publish();
        var bounds = new NodeSettings.Tolerances(
                4_000_000, 3_000_000, 8_000_000, 3_000_000, 5_000_000, 0.2, 10_000_000, 60, 1.5, 5, 400_000, 5_000_000);
        seat = new NodeSettings(
                "r1",
                "a",
                "ra",
                Map.of("a", "ra", "b", "rb"),
                free(),
                free(),
                null,
                null,
                "127.0.0.1:1",
                List.of(),
                false,
                null,
                1,
                1_200_000,
                bounds);
        server = new ProxyServer(
                this::clock,
                () -> view,
                seat,
                names(),
                (Event e, String d) -> noted.add(e.code() + " " + d),
                () -> true,
                (a, m) -> {});
    }

    private long clock() {
        var planned = fault;
        if (planned != null) planned.reached();
        return (stopped != 0 ? stopped : System.nanoTime() / 1000) + advanced;
    }

    /** A reading of the router's clock is to throw. */
    void plan(PlannedFault planned) {
        fault = planned;
    }

    static ProtocolNames names() {
        return new ProtocolNames(
                new HttpString("Try"),
                new HttpString("Stamp"),
                new HttpString("Deadline"),
                new HttpString("Parts"),
                new HttpString("Tokens"),
                new HttpString("Model"),
                new HttpString("Addressee"),
                new HttpString("Runner"),
                new HttpString("Load"),
                new HttpString("Not-Run"),
                new HttpString("Cold"),
                new HttpString("Urgency"),
                new HttpString("Last-Event-Id"),
                new HttpString("Weight-Versions"),
                new HttpString("Expect-Version"),
                "/ready",
                "/report");
    }

    /** A port below the range of outgoing connections. */
    private static String free() throws IOException {
        while (true) {
            var p = PORT.getAndIncrement();
            try (var s = new ServerSocket(p, 1, InetAddress.getByName("127.0.0.1"))) {
                return "127.0.0.1:" + p;
            } catch (BindException e) {
                if (p > LAST_PORT) throw e;
            }
        }
    }

    void runner(String id, FakeRunner r, String cell) {
        runner(id, r.address(), cell, Rows.Runner.UP);
    }

    void runner(String id, String address, String cell, int state) {
        var row = new Rows.Runner();
        row.name = id;
        row.address = address;
        row.cell = cell;
        row.slots = 8;
        row.incarnation = 1;
        row.state = state;
        var all = new TreeMap<>(service.runners);
        all.put(id, row);
        service.runners = all;
        publish();
    }

    void mark(String zone, String how) {
        topic.marks.put("zone:" + zone, how);
        publish();
    }

    /** As a router that has just started: no manifest yet, then no news of the service. */
    void startAnew(boolean manifest) {
        var members = new ArrayList<List<Node>>();
        for (var i = 0; i < 4; i++) members.add(List.of());
        view = new Membership.CoreView(
                topic,
                manifest ? ManifestReader.read(MANIFEST).get() : null,
                Map.of(),
                new long[4],
                members,
                0,
                new long[4]);
    }

    void publish() {
        var s = new Rows.Service();
        s.name = "s";
        s.regions = service.regions;
        s.cells = service.cells;
        s.zones = service.zones;
        s.cellRegions = service.cellRegions;
        s.weights = service.weights;
        s.homeCells = service.homeCells;
        s.runners = service.runners;
        var members = new ArrayList<List<Node>>();
        for (var i = 0; i < 4; i++) members.add(List.of());
        view = new Membership.CoreView(
                topic,
                ManifestReader.read(MANIFEST).get(),
                new HashMap<>(Map.of("s", s)),
                new long[4],
                members,
                0,
                new long[4]);
    }

    /** Moves the router's clock on once no request is open; its timers run as they did. */
    void advance(long micros) {
        while (server.openRequestCount() > 0) Thread.yield();
        advanced += micros;
    }

    /** Stops the router's clock: from here on it moves by hand only. */
    void stopClock() {
        stopped = System.nanoTime() / 1000;
    }

    /** Moves the router's clock on while requests are open. */
    void advanceWithin(long micros) {
        advanced += micros;
    }

    Socket connect() throws IOException {
        var s = new Socket();
        connect(s);
        return s;
    }

    void connect(Socket s) throws IOException {
        var at = seat.clientAddress().lastIndexOf(':');
        s.connect(new InetSocketAddress(
                "127.0.0.1", Integer.parseInt(seat.clientAddress().substring(at + 1))));
        s.setSoTimeout(10_000);
    }

    static void send(Socket s, String path, String tryId, String more, String body) throws IOException {
        s.getOutputStream()
                .write(("POST " + path + " HTTP/1.1\r\nHost: h.example\r\nTry: " + tryId + "\r\nDeadline: 4000\r\n"
                                + more + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes("ISO-8859-1"));
        s.getOutputStream().flush();
    }

    Answer ask(String path, String tryId, String body) throws IOException {
        try (var s = connect()) {
            send(s, path, tryId, "", body);
            return answer(s.getInputStream());
        }
    }

    static Answer answer(InputStream in) throws IOException {
        return AnswerParser.answer(in);
    }

    @Override
    public void close() {
        server.close();
    }
}
