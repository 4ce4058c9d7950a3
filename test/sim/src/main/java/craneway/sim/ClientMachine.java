package craneway.sim;

import craneway.data.request.HttpExchange;
import craneway.model.problem.ProblemKind;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

public final class ClientMachine extends Machine {
    private static final int ASKS = 6;

    public record Work(
            String service, String tenant, String workClass, boolean runOnce, String allowedRegions, int tokens, int deadlineMillis) {}

    private int count;
    private int keys;

    ClientMachine(World w, String name, String zone, String address) {
        super(w, name, zone, address);
    }

    @Override
    protected void boot() {}

    @Override
    protected void tick() {}

    public String submit(Work w) {
        var key = name + "-k" + keys++;
        submit(w, key, 1);
        return key;
    }

    public void submit(Work w, String key, int askNo) {
        var all = world.readyRouters(zone);
        if (all.isEmpty()) {
            scheduleAfter(500_000, () -> {
                if (askNo < ASKS) submit(w, key, askNo + 1);
            });
            return;
        }
        var to = all.get(world.sim.random.nextInt(all.size()));
        var told = new Journal.Reply();
        told.submittedAt = now();
        told.submissionId = name + "-" + count++;
        told.idempotencyKey = w.runOnce ? key : "";
        told.tenant = w.tenant;
        told.zone = zone;
        told.allowedRegions = w.allowedRegions;
        told.tokens = w.tokens;
        told.deadlineMillis = w.deadlineMillis;
        told.workKey = key;
        told.router = to.name;
        world.journal.submissionCount++;
        world.journal.submissionTimes.add(now());
        var h = new HashMap<String, String>();
        h.put(HttpExchange.TENANT_HEADER, w.tenant);
        h.put(HttpExchange.WORK_HEADER, w.workClass);
        h.put(HttpExchange.DEADLINE_MS_HEADER, Integer.toString(w.deadlineMillis));
        if (w.runOnce) h.put(HttpExchange.KEY_HEADER, key);
        if (!w.allowedRegions.isEmpty()) h.put(HttpExchange.REGIONS_HEADER, w.allowedRegions);
        var body = w.service + " " + told.submissionId + " " + (w.runOnce ? key : "-") + " " + w.tokens;
        world.openRequest(this, to.address, HttpExchange.RUNNER_PATH, h, body.getBytes(), new ReplySink(told, w, key, askNo));
    }

    private void over(Journal.Reply t, Work w, String key, int askNo) {
        t.receivedAt = now();
        world.journal.replies.add(t);
        var again = t.verdict.equals("declined") && t.retryAfterMicros > 0
                || t.verdict.equals("refused")
                || t.verdict.equals("lost")
                || t.verdict.equals("cut");
        if (again && askNo < ASKS) scheduleAfter(Math.max(200_000, t.retryAfterMicros), () -> submit(w, key, askNo + 1));
    }

    private final class ReplySink implements HttpExchange.ResponseListener {
        private final Journal.Reply told;
        private final Work work;
        private final String key;
        private final int askNo;
        private final StringBuilder text = new StringBuilder();
        private int code;
        private Map<String, String> headers = Map.of();

        ReplySink(Journal.Reply told, Work work, String key, int askNo) {
            this.told = told;
            this.work = work;
            this.key = key;
            this.askNo = askNo;
        }

        private void say(String verdict) {
            told.verdict = verdict;
            over(told, work, key, askNo);
        }

        @Override
        public void onRefused() {
            say("refused");
        }

        @Override
        public void onStatus(int c, Map<String, String> h) {
            code = c;
            headers = h;
        }

        @Override
        public void onChunk(byte[] b) {
            text.append(new String(b));
        }

        @Override
        public void onEnd() {
            if (code != 200) {
                told.problemCode = Integer.parseInt(headers.get(HttpExchange.PROBLEM_HEADER));
                told.retryAfterMicros = Long.parseLong(headers.get(HttpExchange.RETRY_MICROS_HEADER));
                say(ProblemKind.of(told.problemCode).workOutcome().name().toLowerCase());
                return;
            }
            say(complete() ? "whole" : "false-end");
        }

        @Override
        public void onBroken() {
            if (code == 0) say("lost");
            else if (complete()) say("whole");
            else say(text.toString().contains("[DONE]") ? "false-end" : tokens() < 0 ? "disordered" : "cut");
        }

        private boolean complete() {
            return tokens() == told.tokens && text.toString().endsWith("data: [DONE]\n\n");
        }

        private int tokens() {
            var n = 0;
            for (var l : List.of(text.toString().split("\n"))) {
                if (!l.startsWith("data: ") || l.contains("{") || l.contains("[")) continue;
                if (!l.equals("data: " + n)) return -1;
                n++;
            }
            return n;
        }
    }
}
