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

public final class NearSteps {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Map<String, String> at = new HashMap<>();
    private Path folder;
    private StoreProcess store;
    private RouterProcess router;
    private StandinRunner runner;
    private XnioWorker worker;
    private AsyncHttpClient caller;
    private BufferedHttpResponse reply;
    private Socket socket;
    private int code;
    private String said;
    private long id;
    private int thinking = 300;

    private static final AtomicInteger PORT = new AtomicInteger(27_000);

    private static String free() throws IOException {
        while (true) {
            var p = PORT.getAndIncrement();
            try (var s = new ServerSocket(p, 1, InetAddress.getByName("127.0.0.1"))) {
                return "127.0.0.1:" + s.getLocalPort();
            } catch (BindException e) {
                if (p > 31_000) throw e;
            }
        }
    }

    @Given("a store, a router and a runner in this process that thinks for {int} ms")
    public void slow(int prefill) throws IOException {
        thinking = prefill;
        near();
    }

    @Given("a store, a router and a runner in this process")
    public void near() throws IOException {
        folder = Files.createTempDirectory("craneway");
        worker = Xnio.getInstance().createWorker(OptionMap.EMPTY);
        caller = new AsyncHttpClient(worker);
        for (var k : List.of(
                "store",
                "store-operator",
                "store-platform",
                "router",
                "requester",
                "runner-desk",
                "operator",
                "platform",
                "runner")) at.put(k, free());
        var seeds = at.get("store") + "," + at.get("router") + ",127.0.0.1:9";
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
                                at.get("router"),
                                "operator",
                                at.get("operator"),
                                "platform",
                                at.get("platform"),
                                "requester",
                                at.get("requester"),
                                "runner",
                                at.get("runner-desk"),
                                "seeds",
                                seeds),
                        StartupSettings.ROUTER_KIND),
                new EventLog("router-1"));
        await("store ready", () -> status("store-platform", "/ready") == 200);
        send(manifest(), 0);
        runner = new StandinRunner(
                new StandinRunner.Settings("runner-1", at.get("runner"), "registry", "zagreb-a", 2, 20, thinking, 4, 0),
                List.of(at.get("runner-desk")),
                folder.resolve("runner-1.jsonl"));
        runner.start();
        await("router ready", () -> status("platform", "/ready") == 200);
        await("runner up", () -> router.router().membership().view().services().values().stream()
                .anyMatch(s -> s.runners.containsKey("runner-1")));
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
                                at.get("store"),
                                "operator",
                                at.get("store-operator"),
                                "platform",
                                at.get("store-platform"),
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
        var f = new Messages.Founding();
        f.coreId = 77;
        f.storeIds = new long[] {5};
        f.zones = new String[] {"zagreb-1"};
        return ChecksumEnvelope.wrap(Codec.encode(f));
    }

    @When("^a store starts again on a folder whose (\\S+) is (.+)$")
    public void again(String file, String how) throws IOException {
        folder = Files.createTempDirectory("craneway");
        worker = Xnio.getInstance().createWorker(OptionMap.EMPTY);
        caller = new AsyncHttpClient(worker);
        for (var k : List.of("store", "store-operator", "store-platform")) at.put(k, free());
        var seeds = at.get("store") + ",127.0.0.1:9,127.0.0.1:8";
        store = startStore(seeds);
        await("store ready", () -> status("store-platform", "/ready") == 200);
        id = store.store().directory().self().storeId;
        store.close();
        spoil(file, how);
        store = startStore(seeds);
        await("store ready again", () -> status("store-platform", "/ready") == 200);
    }

    private void spoil(String file, String how) throws IOException {
        try (var all = Files.list(folder.resolve("data"))) {
            var f = all.filter(p -> p.getFileName().toString().startsWith(file))
                    .sorted()
                    .findFirst()
                    .orElseThrow();
            var b = Files.readAllBytes(f);
            switch (how) {
                case "truncated" -> Files.write(f, Arrays.copyOf(b, b.length / 2));
                case "junk" -> Files.writeString(f, "this is nobody's file");
                case "missing" -> Files.delete(f);
                case "foreign" -> Files.write(f, foreignCore());
                case "torn" -> Files.write(f, "half a rec".getBytes(), StandardOpenOption.APPEND);
                case "cut" -> Files.write(f, Arrays.copyOf(b, b.length - 1));
                case "end flipped" -> {
                    b[b.length - 1] ^= 0x11;
                    Files.write(f, b);
                }
                case "flipped" -> {
                    b[10] ^= 0x11;
                    Files.write(f, b);
                }
                default -> {}
            }
        }
    }

    @Then("it is the same store {word}")
    public void same(String yes) throws IOException {
        var is = store.store().directory().self().storeId == id;
        var lost = new String[1];
        try (var all = Files.list(folder.resolve("data"))) {
            lost[0] = all.map(p -> p.getFileName().toString())
                    .filter(n -> n.startsWith("lost."))
                    .findFirst()
                    .orElse("");
        }
        if (is != yes.equals("yes") || lost[0].isEmpty() != is)
            throw new AssertionError("same " + is + ", set aside " + lost[0]);
    }

    @Then("a second store on that folder is told that it is in use")
    public void inUse() throws IOException {
        at.put("store", free());
        at.put("store-operator", free());
        at.put("store-platform", free());
        try (var second = startStore(at.get("store") + ",127.0.0.1:9,127.0.0.1:8")) {
            throw new AssertionError("two stores share a folder");
        } catch (InvalidSettingsException e) {
            if (!e.getMessage().contains("in use")) throw e;
        }
    }

    private static String manifest() throws IOException {
        try (var in = NearSteps.class.getResourceAsStream("/craneway/sim/maticar.json")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private void send(String text, long base) throws IOException {
        var f = folder.resolve("sent.json");
        Files.writeString(f, text);
        var c = CranewayMain.run(
                "manifest", "send", f.toString(), "--base", Long.toString(base), "--at", at.get("store-operator"));
        if (c != 0) throw new AssertionError("send ended with " + c);
    }

    private int status(String who, String path) {
        try {
            return BufferedHttpResponse.fetch(
                            caller, at.get(who), new HttpString("GET"), path, Map.of(), new byte[0], 5_000)
                    .status();
        } catch (IOException e) {
            return 0;
        }
    }

    private static void await(String what, BooleanSupplier is) {
        var until = System.nanoTime() + 60_000_000_000L;
        while (!is.getAsBoolean()) {
            if (System.nanoTime() > until) throw new AssertionError("not within 60 s: " + what);
            LockSupport.parkNanos(20_000_000);
        }
    }

    private static String body(String text) {
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
        var h = new HashMap<HttpString, String>();
        if (text != null)
            for (var p : text.split(" "))
                if (p.contains("="))
                    h.put(new HttpString(p.substring(0, p.indexOf('='))), p.substring(p.indexOf('=') + 1));
        return h;
    }

    @Then("each of these is declined with its own kind and nothing runs")
    public void declined(DataTable t) throws IOException {
        for (var r : t.asMaps()) {
            var x = BufferedHttpResponse.fetch(
                    caller,
                    at.get(r.get("to")),
                    new HttpString(r.get("method")),
                    r.get("path"),
                    headers(r.get("headers")),
                    body(r.get("body") == null ? "" : r.get("body")).getBytes(),
                    15_000);
            var kind = JSON.readTree(x.body()).path("error").path("type").asText();
            if (x.status() != Integer.parseInt(r.get("status")) || !kind.equals(r.get("kind")))
                throw new AssertionError(r + " got " + x.status() + " " + x.text());
        }
        if (Files.readString(folder.resolve("runner-1.jsonl")).contains("start"))
            throw new AssertionError("something ran");
    }

    @Then("the manifest in force is still version {long}")
    public void still(long v) throws IOException {
        var r = BufferedHttpResponse.fetch(
                caller, at.get("operator"), new HttpString("GET"), "/v1/manifest", Map.of(), new byte[0], 5_000);
        if (!String.valueOf(v).equals(r.headers().getFirst("craneway-version")))
            throw new AssertionError(r.headers().toString());
    }

    @Then("messages between processes that are {string} get {int} and change nothing")
    public void messages(String what, int status) throws IOException {
        var before = router.router().membership().view().manifestRow().topicVersion;
        var core = Long.toHexString(router.router().directory().self().coreId);
        var body =
                switch (what) {
                    case "malformed" -> "\u0007\u0001junk that is no batch".getBytes();
                    default -> new byte[0];
                };
        var h =
                switch (what) {
                    case "of another core" -> headers("craneway-wire=1 craneway-core=abcdef");
                    case "of another version" -> headers("craneway-wire=7 craneway-core=" + core);
                    case "without a core" -> headers("craneway-wire=1");
                    default -> headers("craneway-wire=1 craneway-core=" + core);
                };
        for (var who : List.of("router", "store")) {
            var r = BufferedHttpResponse.fetch(caller, at.get(who), new HttpString("POST"), "/partner", h, body, 5_000);
            if (r.status() != status) throw new AssertionError(who + " replied " + r.status());
        }
        if (status("platform", "/live") != 200
                || router.router().membership().view().manifestRow().topicVersion != before)
            throw new AssertionError("state changed");
    }

    @When("a requester asks for {int} tokens and hangs up {string}")
    public void hangsUp(int tokens, String when) throws IOException {
        var a = at.get("requester").split(":");
        socket = new Socket(a[0], Integer.parseInt(a[1]));
        var b = "{\"model\":\"registry\",\"max_tokens\":" + tokens
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"submission=gone1 key=\"}]}";
        socket.getOutputStream()
                .write(
                        ("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\ncraneway-tenant: office-zagreb-centre\r\ncraneway-work: lookup\r\nContent-Length: "
                                        + b.length() + "\r\n\r\n" + b)
                                .getBytes());
        await("the runner runs", () -> router.router().runnerLoads().requestsInFlight("runner-1") == 1);
        if (when.equals("in the stream")) {
            var in = socket.getInputStream();
            var seen = new StringBuilder();
            while (!seen.toString().contains("data:")) seen.append((char) in.read());
        }
        socket.close();
    }

    @Then("the router lets go while the runner still thinks")
    public void letGo() {
        await("the router lets go", () -> router.router().runnerLoads().requestsInFlight("runner-1") == 0);
        if (runner.requestsInFlight() != 1) throw new AssertionError("the runner had its first token out");
    }

    @Then("the runner's call is cancelled before its end")
    public void cancelled() throws IOException {
        await("the router lets go", () -> router.router().runnerLoads().requestsInFlight("runner-1") == 0);
        await("the runner stops", () -> runner.requestsInFlight() == 0);
        if (Files.readString(folder.resolve("runner-1.jsonl")).contains("\"end\",\"sub\":\"gone1\""))
            throw new AssertionError("it ran to its end");
    }

    @When("run-once work {string} is submitted")
    public void once(String key) throws IOException {
        reply = BufferedHttpResponse.fetch(
                caller,
                at.get("requester"),
                new HttpString("POST"),
                "/v1/chat/completions",
                headers("craneway-tenant=office-zagreb-centre craneway-work=extract craneway-key=" + key),
                "{\"model\":\"registry\",\"max_tokens\":3,\"messages\":[{\"role\":\"user\",\"content\":\"submission=o key=k\"}]}"
                        .getBytes(),
                15_000);
    }

    @Then("the reply is {int} {string}")
    public void replied(int status, String text) {
        if (reply.status() != status || !reply.text().contains(text))
            throw new AssertionError(reply.status() + " " + reply.text());
    }

    @When("the command line is run with {string}")
    public void command(String line) {
        var old = System.err;
        var all = new ByteArrayOutputStream();
        System.setErr(new PrintStream(all));
        try {
            var words = line.replace("OPERATOR", at.getOrDefault("operator", "127.0.0.1:1"))
                    .split(" ");
            var rest = Arrays.copyOfRange(words, 1, words.length);
            code = switch (words[0]) {
                case "router" -> new CommandLine(new RouterMain()).execute(rest);
                case "store" -> new CommandLine(new StoreMain()).execute(rest);
                default -> CranewayMain.run(rest);
            };
        } finally {
            System.setErr(old);
        }
        said = all.toString();
    }

    @Then("it ends with {int} and says {string}")
    public void ends(int want, String text) {
        if (code != want) throw new AssertionError("ended with " + code + ": " + said);
        for (var t : text.split(" & ")) if (!said.contains(t)) throw new AssertionError("said " + said);
    }

    @Given("a startup file {string}")
    public void startupFile(String text) throws IOException {
        Files.writeString(Path.of("target", "startup.json"), text);
    }

    private JsonNode status() throws IOException {
        return JSON.readTree(BufferedHttpResponse.fetch(
                        caller, at.get("operator"), new HttpString("GET"), "/v1/status", Map.of(), new byte[0], 5_000)
                .body());
    }

    @When("a tenant with a quota of {int} submits {int} lookups")
    public void quota(int limit, int n) throws IOException {
        send(
                manifest()
                        .replace(
                                "\"regions\": [\"zagreb\"]}",
                                "\"regions\": [\"zagreb\"], \"quotaPerMinute\": " + limit + "}"),
                1);
        await(
                "the new manifest is in force",
                () -> router.router().membership().view().manifestRow().version == 2);
        at.put("whole", "0");
        at.put("spent", "0");
        for (var i = 0; i < n; i++) {
            reply = BufferedHttpResponse.fetch(
                    caller,
                    at.get("requester"),
                    new HttpString("POST"),
                    "/v1/chat/completions",
                    headers("craneway-tenant=office-zagreb-centre craneway-work=lookup"),
                    "{\"model\":\"registry\",\"max_tokens\":1,\"messages\":[{\"role\":\"user\",\"content\":\"submission=q key=\"}]}"
                            .getBytes(),
                    15_000);
            var k = reply.status() == 200 ? "whole" : reply.status() == 429 ? "spent" : "other";
            at.put(k, Integer.toString(Integer.parseInt(at.getOrDefault(k, "0")) + 1));
        }
    }

    @Then("{int} are served and {int} declined as spent, with when to come back")
    public void spent(int whole, int declined) throws IOException {
        if (!at.get("whole").equals("" + whole) || !at.get("spent").equals("" + declined))
            throw new AssertionError(at.get("whole") + " served, " + at.get("spent") + " spent, last " + reply.text());
        if (reply.headers().getFirst("Retry-After") == null) throw new AssertionError("no word when to come back");
        if (!status().get("manifest").get("version").asText().equals("2")) throw new AssertionError("wrong manifest");
    }

    @When("the metrics of router and store are read")
    public void metrics() throws IOException {
        said = "";
        for (var who : List.of("operator", "store-operator"))
            said += BufferedHttpResponse.fetch(
                            caller, at.get(who), new HttpString("GET"), "/metrics", Map.of(), new byte[0], 5_000)
                    .text();
    }

    @Then("they hold {string} and {string} and {string}")
    public void hold(String a, String b, String c) {
        for (var t : List.of(a, b, c)) if (!said.contains(t)) throw new AssertionError(t + " is not in " + said);
    }

    @Then("the export holds {int} whole rows of {int} token and {int} quota_spent rows of tenant {word} in {word}")
    public void exported(int whole, int tokens, int spent, String tenant, String region) throws IOException {
        var count = new HashMap<String, Integer>();
        try (var in = Files.newBufferedReader(Path.of("target", "usage.csv"));
                var p = CSVFormat.DEFAULT
                        .builder()
                        .setHeader()
                        .setSkipHeaderRecord(true)
                        .get()
                        .parse(in)) {
            for (var r : p)
                if (r.get("tenant").equals(tenant)
                        && r.get("region").equals(region)
                        && Long.parseLong(r.get("endedAt")) >= Long.parseLong(r.get("takenAt")))
                    count.merge(r.get("verdict") + " " + r.get("tokens"), 1, Integer::sum);
        }
        if (count.getOrDefault("whole " + tokens, 0) != whole || count.getOrDefault("quota_spent 0", 0) != spent)
            throw new AssertionError(count.toString());
    }

    @After
    public void close() throws IOException {
        if (socket != null) socket.close();
        if (runner != null) runner.close();
        if (router != null) router.close();
        if (store != null) store.close();
        if (worker != null) worker.shutdownNow();
    }
}
