package craneway.sim;

import craneway.data.request.HttpExchange;
import craneway.data.runner.Announcement;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * A simulated runner: announces itself to the routers of its zone and streams a token at a fixed interval for each run.
 */
public final class RunnerMachine extends Machine implements SimulatedStream.Server {
    private static final long ANNOUNCE_INTERVAL_MICROS = 500_000;
    private static final long PREFILL_MICROS = 60_000;
    private static final long TOKEN_INTERVAL_MICROS = 20_000;
    private static final long WARM_UP_MICROS = 3_000_000;

    final String service;
    final String cell;
    final int slots;
    private final Set<Journal.Run> activeRuns = new HashSet<>();
    private long incarnation;
    private long startedAt;
    private long nextAnnouncementAt;
    private boolean leaving;
    private boolean silent;
    private boolean failing;

    RunnerMachine(World world, String name, String zone, String address, String service, String cell, int slots) {
        super(world, name, zone, address);
        this.service = service;
        this.cell = cell;
        this.slots = slots;
    }

    /** The number of the current process; it rises with each start. */
    public long incarnation() {
        return incarnation;
    }

    /** Sets whether the runner stops announcing itself while it goes on serving. */
    public void setSilent(boolean value) {
        silent = value;
    }

    /** Sets whether the runner accepts work and then breaks the connection after the prefill. */
    public void setFailing(boolean value) {
        failing = value;
    }

    @Override
    protected void boot() {
        incarnation = Math.max(incarnation + 1, now());
        startedAt = now();
        nextAnnouncementAt = now();
        leaving = false;
        silent = false;
        failing = false;
        activeRuns.clear();
    }

    private boolean isCold() {
        return now() - startedAt < WARM_UP_MICROS && !world.runnersStartWarm;
    }

    @Override
    protected void tick() {
        if (leaving || silent || now() < nextAnnouncementAt) return;
        nextAnnouncementAt = now() + ANNOUNCE_INTERVAL_MICROS;
        var announcement =
                new Announcement(service, name, address, cell, slots, incarnation, isCold(), activeRuns.size());
        for (var router : world.routersIn(zone))
            world.net.send(this, router.address, () -> router.router.announceRunner(announcement, reply -> {}));
    }

    /** Stops announcing and sends the routers a leave. */
    public void leave() {
        leaving = true;
        sendLeave(0);
    }

    /** Sends the leave to one router after the other, a second apart, until one acknowledges it. */
    private void sendLeave(int attempt) {
        var routers = world.routersIn(zone);
        if (routers.isEmpty()) return;
        var leavingIncarnation = incarnation;
        var router = routers.get(attempt % routers.size());
        var acknowledged = new boolean[1];
        world.net.send(
                this,
                router.address,
                () -> router.router.markRunnerLeaving(service, name, leavingIncarnation, reply -> {
                    if (reply.kind == 0)
                        world.net.send(router, address, () -> {
                            if (acknowledged[0] || incarnation != leavingIncarnation) return;
                            acknowledged[0] = true;
                            world.timeline.add(now(), name, "leave acknowledged");
                            world.journal.leaves.add(new Journal.Leave(name, leavingIncarnation, now()));
                        });
                }));
        scheduleAfter(1_000_000, () -> {
            if (!acknowledged[0] && incarnation == leavingIncarnation) sendLeave(attempt + 1);
        });
    }

    @Override
    public void serve(SimulatedStream stream, String path, Map<String, String> headers, byte[] body) {
        var load = Map.of(HttpExchange.LOAD_HEADER, Integer.toString(activeRuns.size()));
        if (activeRuns.size() >= slots) {
            stream.status(503, load);
            stream.end();
            return;
        }
        var fields = new String(body).split(" ");
        var run = new Journal.Run();
        run.startedAt = now();
        run.runner = name;
        run.incarnation = incarnation;
        run.zone = zone;
        run.cell = cell;
        run.service = service;
        run.submissionId = fields[1];
        run.idempotencyKey = fields[2].equals("-") ? "" : fields[2];
        run.tenant = headers.get(HttpExchange.TENANT_HEADER);
        run.tokens = Integer.parseInt(fields[3]);
        run.runnerCold = isCold();
        run.runnerStartedAt = startedAt;
        run.allowedRegions = headers.getOrDefault(HttpExchange.REGIONS_HEADER, "");
        run.manifestVersion = Long.parseLong(headers.get(HttpExchange.MANIFEST_VERSION_HEADER));
        run.tableVersion = Long.parseLong(headers.get(HttpExchange.TABLE_VERSION_HEADER));
        run.slots = slots;
        activeRuns.add(run);
        run.concurrentRuns = activeRuns.size();
        world.journal.runs.add(run);
        var finished = new boolean[1];
        stream.onCancel(() -> {
            finished[0] = true;
            activeRuns.remove(run);
        });
        scheduleAfter(PREFILL_MICROS, () -> {
            if (finished[0]) return;
            if (failing) {
                finished[0] = true;
                activeRuns.remove(run);
                stream.breakOff();
                return;
            }
            stream.status(200, load);
            streamToken(stream, run, 0, finished);
        });
    }

    private void streamToken(SimulatedStream stream, Journal.Run run, int token, boolean[] finished) {
        if (finished[0]) return;
        if (token < run.tokens) {
            stream.chunk(("data: " + token + "\n\n").getBytes());
            scheduleAfter(TOKEN_INTERVAL_MICROS, () -> streamToken(stream, run, token + 1, finished));
            return;
        }
        stream.chunk("data: [DONE]\n\n".getBytes());
        stream.end();
        run.endedAt = now();
        run.complete = true;
        activeRuns.remove(run);
    }
}
