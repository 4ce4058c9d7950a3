package craneway.sim;

import craneway.data.request.HttpExchange;
import craneway.data.runner.Announcement;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

public final class RunnerMachine extends Machine implements Stream.Server {
    private static final long ANNOUNCE = 500_000, PREFILL = 60_000, TOKEN = 20_000, WARM_UP = 3_000_000;

    final String service;
    final String cell;
    final int slots;
    private final Set<Journal.Run> running = new HashSet<>();
    private long incarnation;
    private long born;
    private long due;
    private boolean leaving;
    private boolean setSilent;
    private boolean ailing;

    RunnerMachine(World w, String name, String zone, String address, String service, String cell, int slots) {
        super(w, name, zone, address);
        this.service = service;
        this.cell = cell;
        this.slots = slots;
    }

    public long incarnation() {
        return incarnation;
    }

    public void setSilent(boolean is) {
        setSilent = is;
    }

    public void setFailing(boolean is) {
        ailing = is;
    }

    @Override
    protected void boot() {
        incarnation = Math.max(incarnation + 1, now());
        born = now();
        due = now();
        leaving = false;
        setSilent = false;
        ailing = false;
        running.clear();
    }

    private boolean cold() {
        return now() - born < WARM_UP && !world.runnersStartWarm;
    }

    @Override
    protected void tick() {
        if (leaving || setSilent || now() < due) return;
        due = now() + ANNOUNCE;
        var a = new Announcement(service, name, address, cell, slots, incarnation, cold(), running.size());
        for (var r : world.routersIn(zone)) world.net.send(this, r.address, () -> r.router.announceRunner(a, v -> {}));
    }

    public void leave() {
        leaving = true;
        askToLeave(0);
    }

    private void askToLeave(int turn) {
        var all = world.routersIn(zone);
        if (all.isEmpty()) return;
        var mine = incarnation;
        var r = all.get(turn % all.size());
        var acked = new boolean[1];
        world.net.send(
                this,
                r.address,
                () -> r.router.markRunnerLeaving(service, name, mine, v -> {
                    if (v.kind == 0)
                        world.net.send(r, address, () -> {
                            if (acked[0] || incarnation != mine) return;
                            acked[0] = true;
                            world.timeline.add(now(), name, "leave acknowledged");
                            world.journal.leaves.add(new Journal.Leave(name, mine, now()));
                        });
                }));
        scheduleAfter(1_000_000, () -> {
            if (!acked[0] && incarnation == mine) askToLeave(turn + 1);
        });
    }

    @Override
    public void serve(Stream s, String path, Map<String, String> h, byte[] body) {
        var load = Map.of(HttpExchange.LOAD_HEADER, Integer.toString(running.size()));
        if (running.size() >= slots) {
            s.status(503, load);
            s.end();
            return;
        }
        var p = new String(body).split(" ");
        var r = new Journal.Run();
        r.startedAt = now();
        r.runner = name;
        r.incarnation = incarnation;
        r.zone = zone;
        r.cell = cell;
        r.service = service;
        r.submissionId = p[1];
        r.idempotencyKey = p[2].equals("-") ? "" : p[2];
        r.tenant = h.get(HttpExchange.TENANT_HEADER);
        r.tokens = Integer.parseInt(p[3]);
        r.runnerCold = cold();
        r.runnerStartedAt = born;
        r.allowedRegions = h.getOrDefault(HttpExchange.REGIONS_HEADER, "");
        r.manifestVersion = Long.parseLong(h.get(HttpExchange.MANIFEST_VERSION_HEADER));
        r.tableVersion = Long.parseLong(h.get(HttpExchange.TABLE_VERSION_HEADER));
        r.slots = slots;
        running.add(r);
        r.concurrentRuns = running.size();
        world.journal.runs.add(r);
        var over = new boolean[1];
        s.onCancel(() -> {
            over[0] = true;
            running.remove(r);
        });
        scheduleAfter(PREFILL, () -> {
            if (over[0]) return;
            if (ailing) {
                over[0] = true;
                running.remove(r);
                s.broken();
                return;
            }
            s.status(200, load);
            token(s, r, 0, over);
        });
    }

    private void token(Stream s, Journal.Run r, int i, boolean[] over) {
        if (over[0]) return;
        if (i < r.tokens) {
            s.chunk(("data: " + i + "\n\n").getBytes());
            scheduleAfter(TOKEN, () -> token(s, r, i + 1, over));
            return;
        }
        s.chunk("data: [DONE]\n\n".getBytes());
        s.end();
        r.endedAt = now();
        r.complete = true;
        running.remove(r);
    }
}
