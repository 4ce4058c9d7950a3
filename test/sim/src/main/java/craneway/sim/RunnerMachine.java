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
    private boolean dark;
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

    public void dark(boolean is) {
        dark = is;
    }

    public void ail(boolean is) {
        ailing = is;
    }

    @Override
    protected void boot() {
        incarnation = Math.max(incarnation + 1, now());
        born = now();
        due = now();
        leaving = false;
        dark = false;
        ailing = false;
        running.clear();
    }

    private boolean cold() {
        return now() - born < WARM_UP && !world.warmStart;
    }

    @Override
    protected void tick() {
        if (leaving || dark || now() < due) return;
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
                            world.timeline.note(now(), name, "leave acknowledged");
                            world.journal.leaves.add(new Journal.Leave(name, mine, now()));
                        });
                }));
        mineAfter(1_000_000, () -> {
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
        r.at = now();
        r.runner = name;
        r.incarnation = incarnation;
        r.zone = zone;
        r.cell = cell;
        r.service = service;
        r.sub = p[1];
        r.key = p[2].equals("-") ? "" : p[2];
        r.tenant = h.get(HttpExchange.TENANT_HEADER);
        r.tokens = Integer.parseInt(p[3]);
        r.cold = cold();
        r.bornAt = born;
        r.regions = h.getOrDefault(HttpExchange.REGIONS_HEADER, "");
        r.manifest = Long.parseLong(h.get(HttpExchange.MANIFEST_VERSION_HEADER));
        r.table = Long.parseLong(h.get(HttpExchange.TABLE_VERSION_HEADER));
        r.slots = slots;
        running.add(r);
        r.running = running.size();
        world.journal.runs.add(r);
        var over = new boolean[1];
        s.onCancel(() -> {
            over[0] = true;
            running.remove(r);
        });
        mineAfter(PREFILL, () -> {
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
            mineAfter(TOKEN, () -> token(s, r, i + 1, over));
            return;
        }
        s.chunk("data: [DONE]\n\n".getBytes());
        s.end();
        r.endedAt = now();
        r.whole = true;
        running.remove(r);
    }
}
