package craneway.sim;

import craneway.control.operator.OperatorCommands;
import craneway.data.request.HttpExchange;
import craneway.data.request.Request;
import craneway.data.request.RequestRelay;
import craneway.data.router.Router;
import craneway.model.problem.Problem;
import craneway.model.unit.Hash;
import craneway.state.message.Codec;
import craneway.state.message.Node;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

public final class RouterMachine extends Machine implements NodePort.Receiver, Stream.Server {
    public Router router;
    public OperatorCommands operator;
    private long ids;
    private boolean leaving;

    RouterMachine(World w, String name, String zone, String address) {
        super(w, name, zone, address);
    }

    @Override
    protected void boot() {
        var port = new NodePort(this);
        leaving = false;
        router =
                new Router(port, world.newIdentity(this, Node.ROUTER), world.seedAddresses(), new Random(world.sim.random.nextLong()));
        operator = new OperatorCommands(port, router.coreClient());
    }

    @Override
    protected void tick() {
        if (router.membership().isSuperseded()) {
            schedule(this::crash);
            return;
        }
        router.tick();
        operator.tick(now());
        world.recordManifest(this, router.membership().view());
        if (leaving && router.requestExecutor().openRequests() == 0)
            schedule(() -> {
                router.membership().leave(now());
                scheduleAfter(100_000, this::crash);
            });
    }

    public void stopGracefully() {
        router.markUnready();
        scheduleAfter(2_200_000, () -> {
            router.requestExecutor().stopAccepting();
            leaving = true;
        });
    }

    public boolean isReady() {
        return isRunning() && !isFrozen() && router.isReady();
    }

    @Override
    public long core() {
        return router == null ? 0 : router.directory().self().coreId;
    }

    @Override
    public void receive(byte[] m) {
        router.receive(Codec.decodeTagged(m));
    }

    @Override
    public void serve(Stream s, String path, Map<String, String> h, byte[] body) {
        var text = new String(body);
        if (path.equals(HttpExchange.ROUTER_PATH))
            world.journal.forwards.add(new Journal.Forward(now(), text.split(" ")[1]));
        var regions = h.getOrDefault(HttpExchange.REGIONS_HEADER, "");
        var t = new Request(
                ++ids,
                text.split(" ")[0],
                h.get(HttpExchange.TENANT_HEADER),
                h.getOrDefault(HttpExchange.WORK_HEADER, ""),
                regions.isEmpty() ? List.of() : List.of(regions.split(",")),
                h.getOrDefault(HttpExchange.KEY_HEADER, ""),
                Hash.of(h.getOrDefault(HttpExchange.WORK_HEADER, "")),
                now() + Long.parseLong(h.get(HttpExchange.DEADLINE_MS_HEADER)) * 1000,
                path.equals(HttpExchange.ROUTER_PATH),
                body);
        var p = new RequestRelay(
                t,
                router.requestExecutor(),
                router.runnerLoads(),
                this::now,
                name,
                new Bound(s, path.equals(HttpExchange.RUNNER_PATH) ? text.split(" ")[1] : ""));
        var executor = router.requestExecutor();
        s.onCancel(() -> executor.onClientDisconnected(t.id()));
        p.start();
    }

    private final class Bound implements HttpExchange {
        private final Stream back;
        private final String sub;

        Bound(Stream back, String sub) {
            this.back = back;
            this.sub = sub;
        }

        @Override
        public void runLater(Runnable step) {
            schedule(step);
        }

        @Override
        public OutgoingCall openCall(
                String address, String path, Map<String, String> headers, byte[] body, ResponseListener sink) {
            return world.openRequest(RouterMachine.this, address, path, headers, body, sink);
        }

        @Override
        public void startResponse() {
            back.status(200, Map.of());
        }

        @Override
        public boolean writeChunk(byte[] b) {
            back.chunk(b);
            return back.open();
        }

        @Override
        public void endResponse() {
            back.end();
        }

        @Override
        public void sendProblem(Problem p) {
            if (!sub.isEmpty()) world.journal.verdictSentAt.put(sub, now());
            var h = new HashMap<String, String>();
            h.put(HttpExchange.PROBLEM_HEADER, Integer.toString(p.kind().code()));
            h.put(HttpExchange.RETRY_MICROS_HEADER, Long.toString(p.retryAfterMicros()));
            back.status(p.kind().status(), h);
            back.end();
        }

        @Override
        public void abortResponse(Problem p, boolean started) {
            if (started) back.chunk("\n\nevent: error\ndata: {}\n\n".getBytes());
            back.broken();
        }
    }
}
