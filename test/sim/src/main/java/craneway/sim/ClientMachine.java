package craneway.sim;

import craneway.data.request.HttpExchange;
import craneway.model.problem.ProblemKind;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A simulated client: submits work to routers, reads the streamed reply and submits again after a retryable failure.
 */
public final class ClientMachine extends Machine {
    /** How often one piece of work is submitted at most. */
    private static final int MAX_SUBMISSIONS = 6;

    /**
     * A piece of work: the service, the tenant, the name of its class of work, whether it carries an idempotency key,
     * the allowed regions separated by commas (empty for no restriction), the number of tokens to generate and the
     * deadline in milliseconds.
     */
    public record Work(
            String service,
            String tenant,
            String workClass,
            boolean runOnce,
            String allowedRegions,
            int tokens,
            int deadlineMillis) {}

    private int submissionCount;
    private int keyCount;

    ClientMachine(World world, String name, String zone, String address) {
        super(world, name, zone, address);
    }

    @Override
    protected void boot() {}

    @Override
    protected void tick() {}

    /** Submits new work and returns its key. */
    public String submit(Work work) {
        var key = name + "-k" + keyCount++;
        submit(work, key, 1);
        return key;
    }

    /**
     * Submits work to a random ready router, nearby ones first.
     *
     * @param key the idempotency key
     * @param submissionNumber the number of this submission of the work, from 1
     */
    public void submit(Work work, String key, int submissionNumber) {
        var routers = world.readyRouters(zone);
        if (routers.isEmpty()) {
            scheduleAfter(500_000, () -> {
                if (submissionNumber < MAX_SUBMISSIONS) submit(work, key, submissionNumber + 1);
            });
            return;
        }
        var router = routers.get(world.sim.random.nextInt(routers.size()));
        var reply = new Journal.Reply();
        reply.submittedAt = now();
        reply.submissionId = name + "-" + submissionCount++;
        reply.idempotencyKey = work.runOnce ? key : "";
        reply.tenant = work.tenant;
        reply.zone = zone;
        reply.allowedRegions = work.allowedRegions;
        reply.tokens = work.tokens;
        reply.deadlineMillis = work.deadlineMillis;
        reply.workKey = key;
        reply.router = router.name;
        world.journal.submissionCount++;
        world.journal.submissionTimes.add(now());
        var headers = new HashMap<String, String>();
        headers.put(HttpExchange.TENANT_HEADER, work.tenant);
        headers.put(HttpExchange.WORK_HEADER, work.workClass);
        headers.put(HttpExchange.DEADLINE_MS_HEADER, Integer.toString(work.deadlineMillis));
        if (work.runOnce) headers.put(HttpExchange.KEY_HEADER, key);
        if (!work.allowedRegions.isEmpty()) headers.put(HttpExchange.REGIONS_HEADER, work.allowedRegions);
        var body = work.service + " " + reply.submissionId + " " + (work.runOnce ? key : "-") + " " + work.tokens;
        world.openRequest(
                this,
                router.address,
                HttpExchange.RUNNER_PATH,
                headers,
                body.getBytes(),
                new ReplySink(reply, work, key, submissionNumber));
    }

    /** Records the reply and submits the work again if the reply permits it. */
    private void finish(Journal.Reply reply, Work work, String key, int submissionNumber) {
        reply.receivedAt = now();
        world.journal.replies.add(reply);
        var retryable = reply.verdict.equals("declined") && reply.retryAfterMicros > 0
                || reply.verdict.equals("refused")
                || reply.verdict.equals("lost")
                || reply.verdict.equals("cut");
        if (retryable && submissionNumber < MAX_SUBMISSIONS)
            scheduleAfter(Math.max(200_000, reply.retryAfterMicros), () -> submit(work, key, submissionNumber + 1));
    }

    /** Receives the response of one submission and judges whether it is complete. */
    private final class ReplySink implements HttpExchange.ResponseListener {
        private final Journal.Reply reply;
        private final Work work;
        private final String key;
        private final int submissionNumber;
        private final StringBuilder received = new StringBuilder();
        private int statusCode;
        private Map<String, String> headers = Map.of();

        ReplySink(Journal.Reply reply, Work work, String key, int submissionNumber) {
            this.reply = reply;
            this.work = work;
            this.key = key;
            this.submissionNumber = submissionNumber;
        }

        private void complete(String verdict) {
            reply.verdict = verdict;
            finish(reply, work, key, submissionNumber);
        }

        @Override
        public void onRefused() {
            complete("refused");
        }

        @Override
        public void onStatus(int status, Map<String, String> responseHeaders) {
            statusCode = status;
            headers = responseHeaders;
        }

        @Override
        public void onChunk(byte[] bytes) {
            received.append(new String(bytes));
        }

        @Override
        public void onEnd() {
            if (statusCode != 200) {
                reply.problemCode = Integer.parseInt(headers.get(HttpExchange.PROBLEM_HEADER));
                reply.retryAfterMicros = Long.parseLong(headers.get(HttpExchange.RETRY_MICROS_HEADER));
                complete(ProblemKind.of(reply.problemCode).workOutcome().name().toLowerCase());
                return;
            }
            complete(isComplete() ? "whole" : "false-end");
        }

        @Override
        public void onBroken() {
            if (statusCode == 0) complete("lost");
            else if (isComplete()) complete("whole");
            else complete(received.toString().contains("[DONE]") ? "false-end" : tokens() < 0 ? "disordered" : "cut");
        }

        /** Whether all tokens and the end marker were received. */
        private boolean isComplete() {
            return tokens() == reply.tokens && received.toString().endsWith("data: [DONE]\n\n");
        }

        /** The number of tokens received, or -1 if they are out of order. */
        private int tokens() {
            var expectedToken = 0;
            for (var line : List.of(received.toString().split("\n"))) {
                if (!line.startsWith("data: ") || line.contains("{") || line.contains("[")) continue;
                if (!line.equals("data: " + expectedToken)) return -1;
                expectedToken++;
            }
            return expectedToken;
        }
    }
}
