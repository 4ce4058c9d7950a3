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

/**
 * A fleet of real processes on this machine, laid out by {@code craneway fleet}. Methods take processes by name. Not
 * thread-safe.
 */
public final class Fleet implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();
    /** How long to wait for a condition or for the end of a process. */
    private static final long WAIT_TIMEOUT_MILLIS = 90_000;

    /** The folder with the startup files, logs and journals. */
    public final Path folder;
    /**
     * The content of {@code fleet.json}: the processes by kind ({@code stores}, {@code routers}, {@code runners}) and
     * name.
     */
    public final JsonNode fleetJson;

    private final Map<String, Process> processes = new TreeMap<>();
    private final XnioWorker worker;
    private final AsyncHttpClient httpClient;

    /** Lays out a fleet in this folder; the other parameters are values of options of {@code craneway fleet}. */
    public Fleet(Path folder, Path manifest, String routers, String runners, String slots) throws IOException {
        this.folder = folder;
        var exitCode = CranewayMain.run(
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
        if (exitCode != 0) throw new IOException("craneway fleet failed with exit code " + exitCode);
        fleetJson = JSON.readTree(folder.resolve("fleet.json").toFile());
        worker = Xnio.getInstance().createWorker(OptionMap.EMPTY);
        httpClient = new AsyncHttpClient(worker);
    }

    /** Returns the names of the processes of a kind. */
    public List<String> processNames(String kind) {
        var names = new ArrayList<String>();
        fleetJson.get(kind).fieldNames().forEachRemaining(names::add);
        return names;
    }

    /** Returns one field of all processes of a kind, separated by commas. */
    public String addresses(String kind, String field) {
        return String.join(
                ",",
                processNames(kind).stream()
                        .map(name -> fleetJson.get(kind).get(name).get(field).asText())
                        .toList());
    }

    /** Returns the operator addresses of the stores, separated by commas. */
    public String operatorAddresses() {
        return addresses("stores", "operator");
    }

    /** Starts all processes. */
    public void startAll() throws IOException {
        for (var kind : List.of("stores", "routers", "runners")) for (var name : processNames(kind)) start(name);
    }

    /** Starts a process. */
    public void start(String name) throws IOException {
        var startup = folder.resolve("startup").resolve(name + ".json").toString();
        if (fleetJson.get("stores").has(name)) startProcess(name, StoreMain.class, "--startup", startup);
        else if (fleetJson.get("routers").has(name)) startProcess(name, RouterMain.class, "--startup", startup);
        else startStandinRunner(name, fleetJson.get("runners").get(name));
    }

    private void startStandinRunner(String name, JsonNode runner) throws IOException {
        startProcess(
                name,
                StandinMain.class,
                "runner",
                "--name",
                name,
                "--listen",
                runner.get("address").asText(),
                "--routers",
                runner.get("routers").asText(),
                "--service",
                runner.get("service").asText(),
                "--cell",
                runner.get("cell").asText(),
                "--slots",
                runner.get("slots").asText(),
                "--journal",
                folder.resolve("journal").resolve(name + ".jsonl").toString());
    }

    private void startProcess(String name, Class<?> mainClass, String... arguments) throws IOException {
        var command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx192m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                mainClass.getName()));
        command.addAll(List.of(arguments));
        var logFile = folder.resolve("log").resolve(name + ".log").toFile();
        processes.put(
                name,
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile))
                        .start());
    }

    /** Kills a process and waits for its end. */
    public void kill(String name) throws InterruptedException {
        var process = processes.remove(name);
        process.destroyForcibly();
        process.waitFor();
    }

    /** Asks a process to stop and does not wait. */
    public void requestStop(String name) {
        processes.get(name).destroy();
    }

    /** Asks a process to stop, waits for its end and returns its exit code. */
    public int stop(String name) throws InterruptedException {
        requestStop(name);
        return awaitExit(name);
    }

    /** Waits for the end of a process and returns its exit code; kills the process and fails if it takes too long. */
    public int awaitExit(String name) throws InterruptedException {
        var process = processes.remove(name);
        if (!process.waitFor(WAIT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
            process.destroyForcibly();
            throw new AssertionError(name + " did not stop in " + WAIT_TIMEOUT_MILLIS + " ms");
        }
        return process.exitValue();
    }

    /** Sends a signal, such as {@code STOP}, to a process. */
    public void sendSignal(String name, String signal) throws IOException, InterruptedException {
        new ProcessBuilder(
                        "kill", "-" + signal, Long.toString(processes.get(name).pid()))
                .start()
                .waitFor();
    }

    /** Deletes a store's data folder. */
    public void deleteData(String store) throws IOException {
        try (var files = Files.walk(folder.resolve("data").resolve(store))) {
            files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
        }
    }

    /** Sends a GET request and waits up to 5 s for the response. */
    public BufferedHttpResponse get(String address, String path) throws IOException {
        return BufferedHttpResponse.fetch(httpClient, address, Methods.GET, path, Map.of(), new byte[0], 5_000);
    }

    /** Sends a request and waits up to 15 s for the response. */
    public BufferedHttpResponse send(
            String address, HttpString method, String path, Map<HttpString, String> headers, String body)
            throws IOException {
        return BufferedHttpResponse.fetch(httpClient, address, method, path, headers, body.getBytes(), 15_000);
    }

    /** Returns whether a store or router reports that it is ready. */
    public boolean isReady(String name) {
        var node = fleetJson.get("stores").has(name)
                ? fleetJson.get("stores").get(name)
                : fleetJson.get("routers").get(name);
        try {
            return get(node.get("platform").asText(), "/ready").status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns the status of the core from the first store that returns it. */
    public JsonNode fetchStatus() throws IOException {
        IOException lastFailure = null;
        for (var address : operatorAddresses().split(",")) {
            try {
                var response = get(address, "/v1/status");
                if (response.status() == 200) return JSON.readTree(response.body());
            } catch (IOException e) {
                lastFailure = e;
            }
        }
        throw lastFailure == null ? new IOException("no store replied") : lastFailure;
    }

    /** Returns the number of runners that are up, or 0 if no store replies. */
    public long countRunnersUp() {
        try {
            var count = 0L;
            for (var service : fetchStatus().get("services"))
                for (var runner : service.get("runners"))
                    if (runner.get("state").asText().equals("up")) count++;
            return count;
        } catch (IOException e) {
            return 0;
        }
    }

    /** Returns whether a process was started and has not been stopped or killed. */
    public boolean isRunning(String name) {
        return processes.containsKey(name);
    }

    /** Returns whether the core regards a process's lease as lapsed or does not list the process. */
    public boolean hasLeaseLapsed(String name) {
        try {
            for (var member : fetchStatus().get("members"))
                if (member.get("name").asText().equals(name))
                    return member.get("state").asText().equals("lapsed");
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns whether a mark such as {@code zone:NAME} is set. */
    public boolean hasMark(String mark) {
        try {
            return fetchStatus().path("manifest").path("marks").has(mark);
        } catch (IOException e) {
            return false;
        }
    }

    /**
     * Returns whether all parts are reached and every group has three voters, this store among them, and no learner.
     */
    public boolean isVoterInEveryGroup(String store) {
        try {
            var status = fetchStatus();
            if (status.get("partsReached").asInt() < status.get("parts").asInt()) return false;
            for (var group : status.get("groups")) {
                var members = group.get("group").toString();
                if (!members.contains("\"" + store + " (")
                        || members.contains("learner")
                        || group.get("group").size() != 3) return false;
            }
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Waits until the condition holds; fails with the description if it takes too long. */
    public void awaitCondition(String description, BooleanSupplier condition) {
        var deadlineNanos = System.nanoTime() + WAIT_TIMEOUT_MILLIS * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos)
                throw new AssertionError("not within " + WAIT_TIMEOUT_MILLIS + " ms: " + description);
            LockSupport.parkNanos(50_000_000);
        }
    }

    /**
     * Waits until the stores are ready, sends the manifest, and waits until the routers are ready and this number of
     * runners is up.
     */
    public void awaitServing(long runners) {
        awaitCondition("stores ready", () -> processNames("stores").stream().allMatch(this::isReady));
        var exitCode = CranewayMain.run(
                "manifest",
                "send",
                folder.resolve("manifest.json").toString(),
                "--base",
                "0",
                "--at",
                operatorAddresses());
        if (exitCode != 0) throw new AssertionError("the manifest was not accepted, exit code " + exitCode);
        awaitCondition("routers ready", () -> processNames("routers").stream().allMatch(this::isReady));
        awaitCondition("runners up", () -> countRunnersUp() == runners);
    }

    /** Returns a checker with the journals of all runners and these requesters. */
    public JournalChecker checkJournals(Path... requesters) throws IOException {
        var checker = new JournalChecker();
        for (var name : processNames("runners")) {
            var journal = folder.resolve("journal").resolve(name + ".jsonl");
            if (Files.exists(journal)) checker.addRunnerJournal(journal);
        }
        for (var requester : requesters) checker.addRequesterJournal(requester);
        return checker;
    }

    @Override
    public void close() {
        processes.values().forEach(Process::destroyForcibly);
        processes.clear();
        worker.shutdownNow();
    }
}
