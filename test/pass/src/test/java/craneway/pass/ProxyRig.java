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

/**
 * Test rig: the HTTP proxy of one router, with a client on raw sockets on one side and scripted runners on the other. A
 * test decides which runners and marks the router knows of, and may move its clock.
 */
final class ProxyRig implements AutoCloseable {
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

    /** A response as a client received it; {@code complete} says whether its framing ended as announced. */
    record Response(int status, Map<String, String> headers, byte[] body, boolean complete) {
        String text() {
            return new String(body, java.nio.charset.StandardCharsets.ISO_8859_1);
        }
    }

    private static final int FIRST_LISTEN_PORT = 20_000;
    private static final int LAST_LISTEN_PORT = 32_000;
    private static final int PORTS_PER_PROCESS = 20;
    private static final int PORT_RANGE_COUNT = 500;
    /** Each process starts at a port of its own, so that builds that run side by side do not collide. */
    private static final AtomicInteger NEXT_PORT = new AtomicInteger(
            FIRST_LISTEN_PORT + (int) (ProcessHandle.current().pid() % PORT_RANGE_COUNT) * PORTS_PER_PROCESS);

    final List<String> loggedEvents = new CopyOnWriteArrayList<>();
    final ProxyServer server;
    final NodeSettings nodeSettings;
    private final Rows.Service serviceRow = new Rows.Service();
    private final Rows.Manifest manifestRow = new Rows.Manifest();
    private volatile Membership.CoreView coreView;
    private volatile long clockOffsetMicros;
    private volatile long stoppedClockMicros;
    private volatile PlannedFault plannedFault;

    ProxyRig() throws IOException {
        serviceRow.name = "s";
        serviceRow.regions.addAll(List.of("ra", "rb"));
        serviceRow.cells.addAll(List.of("a", "b"));
        serviceRow.zones.addAll(List.of("a", "b"));
        serviceRow.cellRegions.addAll(List.of("ra", "rb"));
        serviceRow.weights.addAll(List.of(1, 1));
        serviceRow.homeCells = new int[400];
        Arrays.fill(serviceRow.homeCells, 0);
        Arrays.fill(serviceRow.homeCells, 200, 300, 1);
        publishView();
        var tolerances = new NodeSettings.Tolerances(
                4_000_000, 3_000_000, 8_000_000, 3_000_000, 5_000_000, 0.2, 10_000_000, 60, 1.5, 5, 400_000, 5_000_000);
        nodeSettings = new NodeSettings(
                "r1",
                "a",
                "ra",
                Map.of("a", "ra", "b", "rb"),
                findFreeAddress(),
                findFreeAddress(),
                null,
                null,
                "127.0.0.1:1",
                List.of(),
                false,
                null,
                1,
                1_200_000,
                tolerances);
        server = new ProxyServer(
                this::nowMicros,
                () -> coreView,
                nodeSettings,
                protocolNames(),
                (Event event, String detail) -> loggedEvents.add(event.code() + " " + detail),
                () -> true,
                (a, m) -> {});
    }

    private long nowMicros() {
        var fault = plannedFault;
        if (fault != null) fault.throwIfDue();
        return (stoppedClockMicros != 0 ? stoppedClockMicros : System.nanoTime() / 1000) + clockOffsetMicros;
    }

    /** Makes a reading of the router's clock throw as {@code fault} says. */
    void planClockFault(PlannedFault fault) {
        plannedFault = fault;
    }

    /** Returns the header names and paths that the tests use between client, router and runners. */
    static ProtocolNames protocolNames() {
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

    /** Returns a free local address with a port below the range that the kernel uses for outgoing connections. */
    private static String findFreeAddress() throws IOException {
        while (true) {
            var port = NEXT_PORT.getAndIncrement();
            try (var probe = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return "127.0.0.1:" + port;
            } catch (BindException e) {
                if (port > LAST_LISTEN_PORT) throw e;
            }
        }
    }

    /** Adds a runner that is up to this cell. */
    void putRunner(String id, FakeRunner runner, String cell) {
        putRunner(id, runner.address(), cell, Rows.Runner.UP);
    }

    /** Adds or replaces a runner, in one of the states of {@link Rows.Runner}. */
    void putRunner(String id, String address, String cell, int state) {
        var row = new Rows.Runner();
        row.name = id;
        row.address = address;
        row.cell = cell;
        row.slots = 8;
        row.incarnation = 1;
        row.state = state;
        var runners = new TreeMap<>(serviceRow.runners);
        runners.put(id, row);
        serviceRow.runners = runners;
        publishView();
    }

    /** Sets the mark of a zone; an empty one clears it. */
    void markZone(String zone, String mark) {
        manifestRow.marks.put("zone:" + zone, mark);
        publishView();
    }

    /** Publishes the view of a router that has just started: without the service, and perhaps without a manifest. */
    void publishViewWithoutService(boolean withManifest) {
        var members = new ArrayList<List<Node>>();
        for (var i = 0; i < 4; i++) members.add(List.of());
        coreView = new Membership.CoreView(
                manifestRow,
                withManifest ? ManifestReader.read(MANIFEST).get() : null,
                Map.of(),
                new long[4],
                members,
                0,
                new long[4]);
    }

    /** Publishes a view with the manifest and a copy of the service as it is now. */
    void publishView() {
        var service = new Rows.Service();
        service.name = "s";
        service.regions = serviceRow.regions;
        service.cells = serviceRow.cells;
        service.zones = serviceRow.zones;
        service.cellRegions = serviceRow.cellRegions;
        service.weights = serviceRow.weights;
        service.homeCells = serviceRow.homeCells;
        service.runners = serviceRow.runners;
        var members = new ArrayList<List<Node>>();
        for (var i = 0; i < 4; i++) members.add(List.of());
        coreView = new Membership.CoreView(
                manifestRow,
                ManifestReader.read(MANIFEST).get(),
                new HashMap<>(Map.of("s", service)),
                new long[4],
                members,
                0,
                new long[4]);
    }

    /** Advances the router's clock once no request is open; its timers are not affected. */
    void advanceClockWhenIdle(long micros) {
        while (server.openRequestCount() > 0) Thread.yield();
        clockOffsetMicros += micros;
    }

    /** Stops the router's clock; from now on only {@link #advanceClock} moves it. */
    void stopClock() {
        stoppedClockMicros = System.nanoTime() / 1000;
    }

    /** Advances the router's clock at once, also while requests are open. */
    void advanceClock(long micros) {
        clockOffsetMicros += micros;
    }

    /** Opens a client connection to the router. */
    Socket connect() throws IOException {
        var client = new Socket();
        connect(client);
        return client;
    }

    /** Connects {@code client} to the router, with a read timeout of 10 s. */
    void connect(Socket client) throws IOException {
        var colon = nodeSettings.clientAddress().lastIndexOf(':');
        client.connect(new InetSocketAddress(
                "127.0.0.1", Integer.parseInt(nodeSettings.clientAddress().substring(colon + 1))));
        client.setSoTimeout(10_000);
    }

    /** Sends a POST request with a deadline of 4,000 ms and {@code extraHeaders}, each of which ends with CRLF. */
    static void sendPost(Socket client, String path, String attemptId, String extraHeaders, String body)
            throws IOException {
        client.getOutputStream()
                .write(("POST " + path + " HTTP/1.1\r\nHost: h.example\r\nTry: " + attemptId + "\r\nDeadline: 4000\r\n"
                                + extraHeaders + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes("ISO-8859-1"));
        client.getOutputStream().flush();
    }

    /** Sends a POST request on a connection of its own and reads the response. */
    Response post(String path, String attemptId, String body) throws IOException {
        try (var client = connect()) {
            sendPost(client, path, attemptId, "", body);
            return read(client.getInputStream());
        }
    }

    /** Reads a final response from {@code in}. */
    static Response read(InputStream in) throws IOException {
        return ResponseParser.read(in);
    }

    @Override
    public void close() {
        server.close();
    }
}
