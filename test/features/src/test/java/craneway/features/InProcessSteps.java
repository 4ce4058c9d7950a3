package craneway.features;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import craneway.command.CranewayMain;
import craneway.http.AsyncHttpClient;
import craneway.http.BufferedHttpResponse;
import craneway.log.EventLog;
import craneway.process.InvalidSettingsException;
import craneway.process.RouterProcess;
import craneway.process.StartupSettings;
import craneway.process.StoreProcess;
import craneway.router.RouterMain;
import craneway.standin.StandinRunner;
import craneway.state.disk.ChecksumEnvelope;
import craneway.state.message.Codec;
import craneway.state.message.Messages;
import craneway.store.StoreMain;
import io.cucumber.datatable.DataTable;
import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.apache.commons.csv.CSVFormat;
import org.xnio.OptionMap;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import picocli.CommandLine;

/** Steps that run a store, a router and a stand-in runner in the test's own process, over real sockets. */
public final class InProcessSteps {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** Addresses by endpoint; the quota step also keeps its counts of verdicts here. */
    private final Map<String, String> addresses = new HashMap<>();

    private Path folder;
    private StoreProcess store;
    private RouterProcess router;
    private StandinRunner runner;
    private XnioWorker worker;
    private AsyncHttpClient client;
    private BufferedHttpResponse response;
    private Socket requesterSocket;
    private int exitCode;
    private String printed;
    private long storeId;
    private int prefillMillis = 300;

    private static final AtomicInteger NEXT_PORT = new AtomicInteger(27_000);

    private static String findFreeAddress() throws IOException {
        while (true) {
            var port = NEXT_PORT.getAndIncrement();
            try (var probe = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return "127.0.0.1:" + probe.getLocalPort();
            } catch (BindException e) {
                if (port > 31_000) throw e;
            }
        }
    }

    @Given("a store, a router and a runner in this process whose prefill takes {int} ms")
    public void startWithPrefillTime(int newPrefillMillis) throws IOException {
        prefillMillis = newPrefillMillis;
        startAll();
    }

    @Given("a store, a router and a runner in this process")
    public void startAll() throws IOException {
        folder = Files.createTempDirectory("craneway");
        worker = Xnio.getInstance().createWorker(OptionMap.EMPTY);
        client = new AsyncHttpClient(worker);
        for (var endpoint : List.of(
                "store",
                "store-operator",
                "store-platform",
                "router",
                "requester",
                "runner-desk",
                "operator",
                "platform",
                "runner")) addresses.put(endpoint, findFreeAddress());
        var seeds = addresses.get("store") + "," + addresses.get("router") + ",127.0.0.1:9";
        store = startStore(seeds);
        router = new RouterProcess(
                StartupSettings.load(
                        null,
                        Map.of(
                                "name",
                                "router-1",
                                "zone",
                                "zagreb-1",
                                "partner",
                                addresses.get("router"),
                                "operator",
                                addresses.get("operator"),
                                "platform",
                                addresses.get("platform"),
                                "requester",
                                addresses.get("requester"),
                                "runner",
                                addresses.get("runner-desk"),
                                "seeds",
                                seeds),
                        StartupSettings.ROUTER_KIND),
                new EventLog("router-1"));
        await("store ready", () -> status("store-platform", "/ready") == 200);
        sendManifest(manifest(), 0);
        runner = new StandinRunner(
                new StandinRunner.Settings(
                        "runner-1", addresses.get("runner"), "registry", "zagreb-a", 2, 20, prefillMillis, 4, 0),
                List.of(addresses.get("runner-desk")),
                folder.resolve("runner-1.jsonl"));
        runner.start();
        await("router ready", () -> status("platform", "/ready") == 200);
        await("runner up", () -> router.router().membership().view().services().values().stream()
                .anyMatch(service -> service.runners.containsKey("runner-1")));
    }

    private StoreProcess startStore(String seeds) {
        return new StoreProcess(
                StartupSettings.load(
                        null,
                        Map.of(
                                "name",
                                "store-1",
                                "zone",
                                "zagreb-1",
                                "partner",
                                addresses.get("store"),
                                "operator",
                                addresses.get("store-operator"),
                                "platform",
                                addresses.get("store-platform"),
                                "seeds",
                                seeds,
                                "data",
                                folder.resolve("data").toString(),
                                "stores",
                                "1"),
                        StartupSettings.STORE_KIND),
                new EventLog("store-1"));
    }

    private static byte[] foreignCore() {
        var founding = new Messages.Founding();
        founding.coreId = 77;
        founding.storeIds = new long[] {5};
        founding.zones = new String[] {"zagreb-1"};
        return ChecksumEnvelope.wrap(Codec.encode(founding));
    }

    @When("^a store restarts on a folder whose (\\S+) is (.+)$")
    public void restartStoreOnDamagedFolder(String file, String damage) throws IOException {
        folder = Files.createTempDirectory("craneway");
        worker = Xnio.getInstance().createWorker(OptionMap.EMPTY);
        client = new AsyncHttpClient(worker);
        for (var endpoint : List.of("store", "store-operator", "store-platform"))
            addresses.put(endpoint, findFreeAddress());
        var seeds = addresses.get("store") + ",127.0.0.1:9,127.0.0.1:8";
        store = startStore(seeds);
        await("store ready", () -> status("store-platform", "/ready") == 200);
        storeId = store.store().directory().self().storeId;
        store.close();
        damageFile(file, damage);
        store = startStore(seeds);
        await("store ready again", () -> status("store-platform", "/ready") == 200);
    }

    private void damageFile(String prefix, String damage) throws IOException {
        try (var files = Files.list(folder.resolve("data"))) {
            var damaged = files.filter(p -> p.getFileName().toString().startsWith(prefix))
                    .sorted()
                    .findFirst()
                    .orElseThrow();
            var bytes = Files.readAllBytes(damaged);
            switch (damage) {
                case "truncated" -> Files.write(damaged, Arrays.copyOf(bytes, bytes.length / 2));
                case "junk" -> Files.writeString(damaged, "this is nobody's file");
                case "missing" -> Files.delete(damaged);
                case "foreign" -> Files.write(damaged, foreignCore());
                case "torn" -> Files.write(damaged, "half a rec".getBytes(), StandardOpenOption.APPEND);
                case "cut" -> Files.write(damaged, Arrays.copyOf(bytes, bytes.length - 1));
                case "end flipped" -> {
                    bytes[bytes.length - 1] ^= 0x11;
                    Files.write(damaged, bytes);
                }
                case "flipped" -> {
                    bytes[10] ^= 0x11;
                    Files.write(damaged, bytes);
                }
                default -> {}
            }
        }
    }

    @Then("the store keeps its identity: {word}")
    public void checkStoreIdentity(String expected) throws IOException {
        var same = store.store().directory().self().storeId == storeId;
        var setAside = new String[1];
        try (var files = Files.list(folder.resolve("data"))) {
            setAside[0] = files.map(p -> p.getFileName().toString())
                    .filter(name -> name.startsWith("lost."))
                    .findFirst()
                    .orElse("");
        }
        if (same != expected.equals("yes") || setAside[0].isEmpty() != same)
            throw new AssertionError("same " + same + ", set aside " + setAside[0]);
    }

    @Then("a second store on that folder fails because the folder is in use")
    public void secondStoreFails() throws IOException {
        addresses.put("store", findFreeAddress());
        addresses.put("store-operator", findFreeAddress());
        addresses.put("store-platform", findFreeAddress());
        try (var second = startStore(addresses.get("store") + ",127.0.0.1:9,127.0.0.1:8")) {
            throw new AssertionError("two stores share a folder");
        } catch (InvalidSettingsException e) {
            if (!e.getMessage().contains("in use")) throw e;
        }
    }

    private static String manifest() throws IOException {
        try (var in = InProcessSteps.class.getResourceAsStream("/craneway/sim/maticar.json")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private void sendManifest(String text, long baseVersion) throws IOException {
        var file = folder.resolve("sent.json");
        Files.writeString(file, text);
        var exit = CranewayMain.run(
                "manifest",
                "send",
                file.toString(),
                "--base",
                Long.toString(baseVersion),
                "--at",
                addresses.get("store-operator"));
        if (exit != 0) throw new AssertionError("manifest send exited with " + exit);
    }

    private int status(String endpoint, String path) {
        try {
            return BufferedHttpResponse.fetch(
                            client, addresses.get(endpoint), new HttpString("GET"), path, Map.of(), new byte[0], 5_000)
                    .status();
        } catch (IOException e) {
            return 0;
        }
    }

    private static void await(String condition, BooleanSupplier isMet) {
        var deadlineNanos = System.nanoTime() + 60_000_000_000L;
        while (!isMet.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos) throw new AssertionError("not within 60 s: " + condition);
            LockSupport.parkNanos(20_000_000);
        }
    }

    private static String requestBody(String text) {
        return switch (text) {
            case "good" ->
                "{\"model\":\"registry\",\"messages\":[{\"role\":\"user\",\"content\":\"submission=s1 key=\"}]}";
            case "of unknown service" -> "{\"model\":\"ghost\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";
            case "with an unknown field" ->
                "{\"model\":\"registry\",\"colour\":1,\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";
            case "without messages" -> "{\"model\":\"registry\",\"messages\":[]}";
            case "not streaming" ->
                "{\"model\":\"registry\",\"stream\":false,\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";
            case "too large" ->
                "{\"model\":\"registry\",\"messages\":[{\"role\":\"user\",\"content\":\"" + "x".repeat(300_000)
                        + "\"}]}";
            case "far too large" ->
                "{\"model\":\"registry\",\"messages\":[{\"role\":\"user\",\"content\":\"" + "x".repeat(9_000_000)
                        + "\"}]}";
            case "cut short" -> "{\"model\":\"registry\",\"messages\":[{\"role\":\"us";
            case "with a field twice" ->
                "{\"model\":\"registry\",\"model\":\"registry\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}";
            case "with junk behind" ->
                "{\"model\":\"registry\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]} and more";
            default -> text;
        };
    }

    private static Map<HttpString, String> headers(String text) {
        var headers = new HashMap<HttpString, String>();
        if (text != null)
            for (var pair : text.split(" "))
                if (pair.contains("="))
                    headers.put(
                            new HttpString(pair.substring(0, pair.indexOf('='))),
                            pair.substring(pair.indexOf('=') + 1));
        return headers;
    }

    @Then("each of these is declined with its own kind and nothing runs")
    public void checkDeclines(DataTable table) throws IOException {
        for (var row : table.asMaps()) {
            var result = BufferedHttpResponse.fetch(
                    client,
                    addresses.get(row.get("to")),
                    new HttpString(row.get("method")),
                    row.get("path"),
                    headers(row.get("headers")),
                    requestBody(row.get("body") == null ? "" : row.get("body")).getBytes(),
                    15_000);
            var kind = JSON.readTree(result.body()).path("error").path("type").asText();
            if (result.status() != Integer.parseInt(row.get("status")) || !kind.equals(row.get("kind")))
                throw new AssertionError(row + " got " + result.status() + " " + result.text());
        }
        if (Files.readString(folder.resolve("runner-1.jsonl")).contains("start"))
            throw new AssertionError("a runner started a run");
    }

    @Then("the manifest in force is still version {long}")
    public void checkManifestVersion(long version) throws IOException {
        var result = BufferedHttpResponse.fetch(
                client, addresses.get("operator"), new HttpString("GET"), "/v1/manifest", Map.of(), new byte[0], 5_000);
        if (!String.valueOf(version).equals(result.headers().getFirst("craneway-version")))
            throw new AssertionError(result.headers().toString());
    }

    @Then("messages between processes that are {string} get {int} and change nothing")
    public void checkForeignMessages(String kind, int expectedStatus) throws IOException {
        var before = router.router().membership().view().manifestRow().topicVersion;
        var core = Long.toHexString(router.router().directory().self().coreId);
        var body =
                switch (kind) {
                    case "malformed" -> "\u0007\u0001junk that is no batch".getBytes();
                    default -> new byte[0];
                };
        var headers =
                switch (kind) {
                    case "of another core" -> headers("craneway-wire=1 craneway-core=abcdef");
                    case "of another version" -> headers("craneway-wire=7 craneway-core=" + core);
                    case "without a core" -> headers("craneway-wire=1");
                    default -> headers("craneway-wire=1 craneway-core=" + core);
                };
        for (var endpoint : List.of("router", "store")) {
            var result = BufferedHttpResponse.fetch(
                    client, addresses.get(endpoint), new HttpString("POST"), "/partner", headers, body, 5_000);
            if (result.status() != expectedStatus) throw new AssertionError(endpoint + " replied " + result.status());
        }
        if (status("platform", "/live") != 200
                || router.router().membership().view().manifestRow().topicVersion != before)
            throw new AssertionError("state changed");
    }

    @When("a requester asks for {int} tokens and hangs up {string}")
    public void submitAndHangUp(int tokens, String moment) throws IOException {
        var hostAndPort = addresses.get("requester").split(":");
        requesterSocket = new Socket(hostAndPort[0], Integer.parseInt(hostAndPort[1]));
        var json = "{\"model\":\"registry\",\"max_tokens\":" + tokens
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"submission=gone1 key=\"}]}";
        requesterSocket
                .getOutputStream()
                .write(
                        ("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\ncraneway-tenant: office-zagreb-centre\r\ncraneway-work: lookup\r\nContent-Length: "
                                        + json.length() + "\r\n\r\n" + json)
                                .getBytes());
        await("the runner runs", () -> router.router().runnerLoads().requestsInFlight("runner-1") == 1);
        if (moment.equals("in the stream")) {
            var in = requesterSocket.getInputStream();
            var received = new StringBuilder();
            while (!received.toString().contains("data:")) received.append((char) in.read());
        }
        requesterSocket.close();
    }

    @Then("the router releases the runner before its prefill ends")
    public void checkRouterReleasedRunner() {
        await(
                "the router releases the runner",
                () -> router.router().runnerLoads().requestsInFlight("runner-1") == 0);
        if (runner.requestsInFlight() != 1) throw new AssertionError("the prefill of the runner has ended");
    }

    @Then("the run is cancelled before its end")
    public void checkRunCancelled() throws IOException {
        await(
                "the router releases the runner",
                () -> router.router().runnerLoads().requestsInFlight("runner-1") == 0);
        await("the runner stops", () -> runner.requestsInFlight() == 0);
        if (Files.readString(folder.resolve("runner-1.jsonl")).contains("\"end\",\"sub\":\"gone1\""))
            throw new AssertionError("it ran to its end");
    }

    @When("run-once work {string} is submitted")
    public void submitRunOnce(String key) throws IOException {
        response = BufferedHttpResponse.fetch(
                client,
                addresses.get("requester"),
                new HttpString("POST"),
                "/v1/chat/completions",
                headers("craneway-tenant=office-zagreb-centre craneway-work=extract craneway-key=" + key),
                "{\"model\":\"registry\",\"max_tokens\":3,\"messages\":[{\"role\":\"user\",\"content\":\"submission=o key=k\"}]}"
                        .getBytes(),
                15_000);
    }

    @Then("the reply is {int} {string}")
    public void checkResponse(int status, String text) {
        if (response.status() != status || !response.text().contains(text))
            throw new AssertionError(response.status() + " " + response.text());
    }

    @When("the command line is run with {string}")
    public void runCommandLine(String line) {
        var originalErr = System.err;
        var errors = new ByteArrayOutputStream();
        System.setErr(new PrintStream(errors));
        try {
            var words = line.replace("OPERATOR", addresses.getOrDefault("operator", "127.0.0.1:1"))
                    .split(" ");
            var arguments = Arrays.copyOfRange(words, 1, words.length);
            exitCode = switch (words[0]) {
                case "router" -> new CommandLine(new RouterMain()).execute(arguments);
                case "store" -> new CommandLine(new StoreMain()).execute(arguments);
                default -> CranewayMain.run(arguments);
            };
        } finally {
            System.setErr(originalErr);
        }
        printed = errors.toString();
    }

    @Then("it exits with {int} and prints {string}")
    public void checkExit(int expectedCode, String text) {
        if (exitCode != expectedCode) throw new AssertionError("exited with " + exitCode + ": " + printed);
        for (var part : text.split(" & ")) if (!printed.contains(part)) throw new AssertionError("printed " + printed);
    }

    @Given("a startup file {string}")
    public void writeStartupFile(String text) throws IOException {
        Files.writeString(Path.of("target", "startup.json"), text);
    }

    private JsonNode status() throws IOException {
        return JSON.readTree(BufferedHttpResponse.fetch(
                        client,
                        addresses.get("operator"),
                        new HttpString("GET"),
                        "/v1/status",
                        Map.of(),
                        new byte[0],
                        5_000)
                .body());
    }

    @When("a tenant with a quota of {int} submits {int} lookups")
    public void submitWithQuota(int quotaPerMinute, int count) throws IOException {
        sendManifest(
                manifest()
                        .replace(
                                "\"regions\": [\"zagreb\"]}",
                                "\"regions\": [\"zagreb\"], \"quotaPerMinute\": " + quotaPerMinute + "}"),
                1);
        await(
                "the new manifest is in force",
                () -> router.router().membership().view().manifestRow().version == 2);
        addresses.put("whole", "0");
        addresses.put("spent", "0");
        for (var i = 0; i < count; i++) {
            response = BufferedHttpResponse.fetch(
                    client,
                    addresses.get("requester"),
                    new HttpString("POST"),
                    "/v1/chat/completions",
                    headers("craneway-tenant=office-zagreb-centre craneway-work=lookup"),
                    "{\"model\":\"registry\",\"max_tokens\":1,\"messages\":[{\"role\":\"user\",\"content\":\"submission=q key=\"}]}"
                            .getBytes(),
                    15_000);
            var verdict = response.status() == 200 ? "whole" : response.status() == 429 ? "spent" : "other";
            addresses.put(verdict, Integer.toString(Integer.parseInt(addresses.getOrDefault(verdict, "0")) + 1));
        }
    }

    @Then("{int} are served and {int} declined for an exhausted quota with a retry time")
    public void checkQuotaVerdicts(int served, int declined) throws IOException {
        if (!addresses.get("whole").equals("" + served)
                || !addresses.get("spent").equals("" + declined))
            throw new AssertionError(
                    addresses.get("whole") + " served, " + addresses.get("spent") + " spent, last " + response.text());
        if (response.headers().getFirst("Retry-After") == null) throw new AssertionError("no Retry-After header");
        if (!status().get("manifest").get("version").asText().equals("2")) throw new AssertionError("wrong manifest");
    }

    @When("the metrics of router and store are read")
    public void readMetrics() throws IOException {
        printed = "";
        for (var endpoint : List.of("operator", "store-operator"))
            printed += BufferedHttpResponse.fetch(
                            client,
                            addresses.get(endpoint),
                            new HttpString("GET"),
                            "/metrics",
                            Map.of(),
                            new byte[0],
                            5_000)
                    .text();
    }

    @Then("they contain {string} and {string} and {string}")
    public void checkMetrics(String first, String second, String third) {
        for (var text : List.of(first, second, third))
            if (!printed.contains(text)) throw new AssertionError(text + " is not in " + printed);
    }

    @Then("the export holds {int} whole rows of {int} token and {int} quota_spent rows of tenant {word} in {word}")
    public void checkUsageExport(
            int completeRowCount, int tokenCount, int quotaSpentRowCount, String tenant, String region)
            throws IOException {
        var rowCounts = new HashMap<String, Integer>();
        try (var reader = Files.newBufferedReader(Path.of("target", "usage.csv"));
                var rows = CSVFormat.DEFAULT
                        .builder()
                        .setHeader()
                        .setSkipHeaderRecord(true)
                        .get()
                        .parse(reader)) {
            for (var row : rows)
                if (row.get("tenant").equals(tenant)
                        && row.get("region").equals(region)
                        && Long.parseLong(row.get("endedAt")) >= Long.parseLong(row.get("takenAt")))
                    rowCounts.merge(row.get("verdict") + " " + row.get("tokens"), 1, Integer::sum);
        }
        if (rowCounts.getOrDefault("whole " + tokenCount, 0) != completeRowCount
                || rowCounts.getOrDefault("quota_spent 0", 0) != quotaSpentRowCount)
            throw new AssertionError(rowCounts.toString());
    }

    @After
    public void close() throws IOException {
        if (requesterSocket != null) requesterSocket.close();
        if (runner != null) runner.close();
        if (router != null) router.close();
        if (store != null) store.close();
        if (worker != null) worker.shutdownNow();
    }
}
