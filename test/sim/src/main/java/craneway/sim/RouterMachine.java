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

/** A simulated machine that runs the production router. */
public final class RouterMachine extends Machine implements MachinePort.Receiver, SimulatedStream.Server {
    public Router router;
    public OperatorCommands operator;
    private long lastRequestId;
    private boolean leaving;

    RouterMachine(World world, String name, String zone, String address) {
        super(world, name, zone, address);
    }

    @Override
    protected void boot() {
        var port = new MachinePort(this);
        leaving = false;
        router = new Router(
                port,
                world.newIdentity(this, Node.ROUTER),
                world.seedAddresses(),
                new Random(world.sim.random.nextLong()));
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

    /** Stops the router as a rolling release does: unready first, then drained, then a leave. */
    public void stopGracefully() {
        router.markUnready();
        scheduleAfter(2_200_000, () -> {
            router.requestExecutor().stopAccepting();
            leaving = true;
        });
    }

    /** Whether the router accepts new requests. */
    public boolean isReady() {
        return isRunning() && !isFrozen() && router.isReady();
    }

    @Override
    public long coreId() {
        return router == null ? 0 : router.directory().self().coreId;
    }

    @Override
    public void receive(byte[] message) {
        router.receive(Codec.decodeTagged(message));
    }

    @Override
    public void serve(SimulatedStream stream, String path, Map<String, String> headers, byte[] body) {
        var text = new String(body);
        if (path.equals(HttpExchange.ROUTER_PATH))
            world.journal.forwards.add(new Journal.Forward(now(), text.split(" ")[1]));
        var regions = headers.getOrDefault(HttpExchange.REGIONS_HEADER, "");
        var request = new Request(
                ++lastRequestId,
                text.split(" ")[0],
                headers.get(HttpExchange.TENANT_HEADER),
                headers.getOrDefault(HttpExchange.WORK_HEADER, ""),
                regions.isEmpty() ? List.of() : List.of(regions.split(",")),
                headers.getOrDefault(HttpExchange.KEY_HEADER, ""),
                Hash.of(headers.getOrDefault(HttpExchange.WORK_HEADER, "")),
                now() + Long.parseLong(headers.get(HttpExchange.DEADLINE_MS_HEADER)) * 1000,
                path.equals(HttpExchange.ROUTER_PATH),
                body);
        var relay = new RequestRelay(
                request,
                router.requestExecutor(),
                router.runnerLoads(),
                this::now,
                name,
                new ClientExchange(stream, path.equals(HttpExchange.RUNNER_PATH) ? text.split(" ")[1] : ""));
        var executor = router.requestExecutor();
        stream.onCancel(() -> executor.onClientDisconnected(request.id()));
        relay.start();
    }

    /** Passes what the request relay produces to the caller's stream. */
    private final class ClientExchange implements HttpExchange {
        private final SimulatedStream stream;
        private final String submissionId;

        ClientExchange(SimulatedStream stream, String submissionId) {
            this.stream = stream;
            this.submissionId = submissionId;
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
            stream.status(200, Map.of());
        }

        @Override
        public boolean writeChunk(byte[] bytes) {
            stream.chunk(bytes);
            return stream.isOpen();
        }

        @Override
        public void endResponse() {
            stream.end();
        }

        @Override
        public void sendProblem(Problem problem) {
            if (!submissionId.isEmpty()) world.journal.verdictSentAt.put(submissionId, now());
            var headers = new HashMap<String, String>();
            headers.put(
                    HttpExchange.PROBLEM_HEADER, Integer.toString(problem.kind().code()));
            headers.put(HttpExchange.RETRY_MICROS_HEADER, Long.toString(problem.retryAfterMicros()));
            stream.status(problem.kind().status(), headers);
            stream.end();
        }

        @Override
        public void abortResponse(Problem problem, boolean started) {
            if (started) stream.chunk("\n\nevent: error\ndata: {}\n\n".getBytes());
            stream.breakOff();
        }
    }
}
