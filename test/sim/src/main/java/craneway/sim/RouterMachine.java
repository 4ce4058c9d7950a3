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
                new Router(port, world.node(this, Node.ROUTER), world.seeds(), new Random(world.sim.random.nextLong()));
        operator = new OperatorCommands(port, router.coreClient());
    }

    @Override
    protected void tick() {
        if (router.membership().isSuperseded()) {
            mine(this::crash);
            return;
        }
        router.tick();
        operator.tick(now());
        world.sees(this, router.membership().view());
        if (leaving && router.executor().open() == 0)
            mine(() -> {
                router.membership().leave(now());
                mineAfter(100_000, this::crash);
            });
    }

    public void stopGently() {
        router.unready();
        mineAfter(2_200_000, () -> {
            router.executor().stop();
            leaving = true;
        });
    }

    public boolean ready() {
        return up() && !frozen() && router.ready();
    }

    @Override
    public long core() {
        return router == null ? 0 : router.directory().self().coreId;
    }

    @Override
    public void receive(byte[] m) {
        router.receive(Codec.readTagged(m));
    }

    @Override
    public void serve(Stream s, String path, Map<String, String> h, byte[] body) {
        var text = new String(body);
        if (path.equals(HttpExchange.TO_ROUTER))
            world.journal.forwards.add(new Journal.Forward(now(), text.split(" ")[1]));
        var regions = h.getOrDefault(HttpExchange.REGIONS, "");
        var t = new Request(
                ++ids,
                text.split(" ")[0],
                h.get(HttpExchange.TENANT),
                h.getOrDefault(HttpExchange.WORK, ""),
                regions.isEmpty() ? List.of() : List.of(regions.split(",")),
                h.getOrDefault(HttpExchange.KEY, ""),
                Hash.of(h.getOrDefault(HttpExchange.WORK, "")),
                now() + Long.parseLong(h.get(HttpExchange.DEADLINE)) * 1000,
                path.equals(HttpExchange.TO_ROUTER),
                body);
        var p = new RequestRelay(
                t,
                router.executor(),
                router.loads(),
                this::now,
                name,
                new Bound(s, path.equals(HttpExchange.TO_RUNNER) ? text.split(" ")[1] : ""));
        var executor = router.executor();
        s.onCancel(() -> executor.gone(t.id()));
        p.begin();
    }

    private final class Bound implements HttpExchange {
        private final Stream back;
        private final String sub;

        Bound(Stream back, String sub) {
            this.back = back;
            this.sub = sub;
        }

        @Override
        public void later(Runnable step) {
            mine(step);
        }

        @Override
        public Call open(String address, String path, Map<String, String> headers, byte[] body, Sink sink) {
            return world.open(RouterMachine.this, address, path, headers, body, sink);
        }

        @Override
        public void start() {
            back.status(200, Map.of());
        }

        @Override
        public boolean write(byte[] b) {
            back.chunk(b);
            return back.open();
        }

        @Override
        public void whole() {
            back.end();
        }

        @Override
        public void verdict(Problem p) {
            if (!sub.isEmpty()) world.journal.saidAt.put(sub, now());
            var h = new HashMap<String, String>();
            h.put(HttpExchange.PROBLEM, Integer.toString(p.kind().code()));
            h.put(HttpExchange.RETRY_MICROS, Long.toString(p.retryAfterMicros()));
            back.status(p.kind().status(), h);
            back.end();
        }

        @Override
        public void cut(Problem p, boolean started) {
            if (started) back.chunk("\n\nevent: error\ndata: {}\n\n".getBytes());
            back.broken();
        }
    }
}
