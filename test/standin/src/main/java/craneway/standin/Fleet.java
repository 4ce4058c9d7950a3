package craneway.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import craneway.command.CranewayMain;
import craneway.drill.JournalChecker;
import craneway.http.AsyncHttpClient;
import craneway.http.BufferedHttpResponse;
import craneway.router.RouterMain;
import craneway.store.StoreMain;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.xnio.OptionMap;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

public final class Fleet implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long LIMIT_MILLIS = 90_000;

    public final Path folder;
    public final JsonNode fleetJson;
    private final Map<String, Process> running = new TreeMap<>();
    private final XnioWorker worker;
    private final AsyncHttpClient caller;

    public Fleet(Path folder, Path manifest, String routers, String runners, String slots) throws IOException {
        this.folder = folder;
        var code = CranewayMain.run(
                "fleet",
                manifest.toString(),
                "--folder",
                folder.toString(),
                "--first-port",
                "0",
                "--routers",
                routers,
                "--runners",
                runners,
                "--slots",
                slots);
        if (code != 0) throw new IOException("the fleet could not be laid out, code " + code);
        fleetJson = JSON.readTree(folder.resolve("fleet.json").toFile());
        worker = Xnio.getInstance().createWorker(OptionMap.EMPTY);
        caller = new AsyncHttpClient(worker);
    }

    public List<String> processNames(String kind) {
        var all = new ArrayList<String>();
        fleetJson.get(kind).fieldNames().forEachRemaining(all::add);
        return all;
    }

    public String addresses(String kind, String field) {
        return String.join(
                ",",
                processNames(kind).stream()
                        .map(n -> fleetJson.get(kind).get(n).get(field).asText())
                        .toList());
    }

    public String operatorAddresses() {
        return addresses("stores", "operator");
    }

    public void startAll() throws IOException {
        for (var k : List.of("stores", "routers", "runners")) for (var n : processNames(k)) start(n);
    }

    public void start(String name) throws IOException {
        var startup = folder.resolve("startup").resolve(name + ".json").toString();
        if (fleetJson.get("stores").has(name)) launch(name, StoreMain.class, "--startup", startup);
        else if (fleetJson.get("routers").has(name)) launch(name, RouterMain.class, "--startup", startup);
        else startRunner(name, fleetJson.get("runners").get(name));
    }

    private void startRunner(String name, JsonNode r) throws IOException {
        launch(
                name,
                StandinMain.class,
                "runner",
                "--name",
                name,
                "--listen",
                r.get("address").asText(),
                "--routers",
                r.get("routers").asText(),
                "--service",
                r.get("service").asText(),
                "--cell",
                r.get("cell").asText(),
                "--slots",
                r.get("slots").asText(),
                "--journal",
                folder.resolve("journal").resolve(name + ".jsonl").toString());
    }

    private void launch(String name, Class<?> main, String... args) throws IOException {
        var c = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx192m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                main.getName()));
        c.addAll(List.of(args));
        var log = folder.resolve("log").resolve(name + ".log").toFile();
        running.put(
                name,
                new ProcessBuilder(c)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                        .start());
    }

    public void kill(String name) throws InterruptedException {
        var p = running.remove(name);
        p.destroyForcibly();
        p.waitFor();
    }

    public void requestStop(String name) {
        running.get(name).destroy();
    }

    public int stop(String name) throws InterruptedException {
        requestStop(name);
        return awaitExit(name);
    }

    public int awaitExit(String name) throws InterruptedException {
        var p = running.remove(name);
        if (!p.waitFor(LIMIT_MILLIS, TimeUnit.MILLISECONDS)) {
            p.destroyForcibly();
            throw new AssertionError(name + " did not stop in " + LIMIT_MILLIS + " ms");
        }
        return p.exitValue();
    }

    public void sendSignal(String name, String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(running.get(name).pid()))
                .start()
                .waitFor();
    }

    public void deleteData(String store) throws IOException {
        try (var all = Files.walk(folder.resolve("data").resolve(store))) {
            all.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        }
    }

    public BufferedHttpResponse get(String address, String path) throws IOException {
        return BufferedHttpResponse.fetch(caller, address, Methods.GET, path, Map.of(), new byte[0], 5_000);
    }

    public BufferedHttpResponse send(
            String address, HttpString method, String path, Map<HttpString, String> headers, String body)
            throws IOException {
        return BufferedHttpResponse.fetch(caller, address, method, path, headers, body.getBytes(), 15_000);
    }

    public boolean isReady(String name) {
        var n = fleetJson.get("stores").has(name)
                ? fleetJson.get("stores").get(name)
                : fleetJson.get("routers").get(name);
        try {
            return get(n.get("platform").asText(), "/ready").status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    public JsonNode fetchStatus() throws IOException {
        IOException last = null;
        for (var a : operatorAddresses().split(",")) {
            try {
                var r = get(a, "/v1/status");
                if (r.status() == 200) return JSON.readTree(r.body());
            } catch (IOException e) {
                last = e;
            }
        }
        throw last == null ? new IOException("no store replied") : last;
    }

    public long countRunnersUp() {
        try {
            var n = 0L;
            for (var s : fetchStatus().get("services"))
                for (var r : s.get("runners")) if (r.get("state").asText().equals("up")) n++;
            return n;
        } catch (IOException e) {
            return 0;
        }
    }

    public boolean isRunning(String name) {
        return running.containsKey(name);
    }

    public boolean hasLeaseLapsed(String name) {
        try {
            for (var m : fetchStatus().get("members"))
                if (m.get("name").asText().equals(name))
                    return m.get("state").asText().equals("lapsed");
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    public boolean hasMark(String mark) {
        try {
            return fetchStatus().path("manifest").path("marks").has(mark);
        } catch (IOException e) {
            return false;
        }
    }

    public boolean isVoterInEveryGroup(String store) {
        try {
            var s = fetchStatus();
            if (s.get("partsReached").asInt() < s.get("parts").asInt()) return false;
            for (var g : s.get("groups")) {
                var text = g.get("group").toString();
                if (!text.contains("\"" + store + " (")
                        || text.contains("learner")
                        || g.get("group").size() != 3) return false;
            }
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    public void awaitCondition(String what, BooleanSupplier is) {
        var until = System.nanoTime() + LIMIT_MILLIS * 1_000_000;
        while (!is.getAsBoolean()) {
            if (System.nanoTime() > until) throw new AssertionError("not within " + LIMIT_MILLIS + " ms: " + what);
            LockSupport.parkNanos(50_000_000);
        }
    }

    public void awaitServing(long runners) {
        awaitCondition("stores ready", () -> processNames("stores").stream().allMatch(this::isReady));
        var sent = CranewayMain.run(
                "manifest", "send", folder.resolve("manifest.json").toString(), "--base", "0", "--at", operatorAddresses());
        if (sent != 0) throw new AssertionError("manifest not taken, code " + sent);
        awaitCondition("routers ready", () -> processNames("routers").stream().allMatch(this::isReady));
        awaitCondition("runners up", () -> countRunnersUp() == runners);
    }

    public JournalChecker checkJournals(Path... requesters) throws IOException {
        var c = new JournalChecker();
        for (var n : processNames("runners")) {
            var f = folder.resolve("journal").resolve(n + ".jsonl");
            if (Files.exists(f)) c.addRunnerJournal(f);
        }
        for (var r : requesters) c.addRequesterJournal(r);
        return c;
    }

    @Override
    public void close() {
        running.values().forEach(Process::destroyForcibly);
        running.clear();
        worker.shutdownNow();
    }
}
