package craneway.data.router;

import craneway.control.node.CoreClient;
import craneway.control.node.Membership;
import craneway.control.node.NodeDirectory;
import craneway.control.node.Port;
import craneway.data.request.RequestExecutor;
import craneway.data.runner.Announcement;
import craneway.data.runner.RunnerLoads;
import craneway.model.event.Event;
import craneway.model.unit.Parts;
import craneway.model.unit.TimingProfile;
import craneway.state.message.Commands;
import craneway.state.message.Messages.CommandResult;
import craneway.state.message.Messages.Hello;
import craneway.state.message.Messages.TopicUpdate;
import craneway.state.message.Messages.PrefillNotice;
import craneway.state.message.Messages.RenewalReplies;
import craneway.state.message.Messages.RenewalReply;
import craneway.state.message.Messages.SilenceNotice;
import craneway.state.message.Messages.Subscription;
import craneway.state.message.Node;
import craneway.state.record.Rows;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

public final class Router {
    private static final long PATIENCE = 3_000_000;

    private final Port port;
    private final NodeDirectory directory;
    private final CoreClient coreClient;
    private final Membership membership;
    private final RunnerLoads runnerLoads = new RunnerLoads();
    private final RequestExecutor requestExecutor;
    private volatile Consumer<PrefillNotice> reading = r -> {};
    private volatile Consumer<SilenceNotice> silence = s -> {};

    public Router(Port port, Node self, List<String> seeds, Random random) {
        this(port, self, seeds, TimingProfile.STANDARD, random);
    }

    public Router(Port port, Node self, List<String> seeds, TimingProfile timing, Random random) {
        this.port = port;
        directory = new NodeDirectory(port, self, seeds, timing);
        coreClient = new CoreClient(port, directory, random.nextLong());
        membership = new Membership(port, directory, coreClient, timing);
        membership.setSignalSource(part -> requestExecutor().cellSignals().drain(part));
        requestExecutor = new RequestExecutor(port, directory, membership, coreClient, runnerLoads);
    }

    public NodeDirectory directory() {
        return directory;
    }

    public CoreClient coreClient() {
        return coreClient;
    }

    public Membership membership() {
        return membership;
    }

    public RequestExecutor requestExecutor() {
        return requestExecutor;
    }

    public RunnerLoads runnerLoads() {
        return runnerLoads;
    }

    /** Who hears what other routers gave runners to read. */
    public void setPrefillListener(Consumer<PrefillNotice> then) {
        reading = then;
    }

    /** Who hears which runners other routers find silent. */
    public void setSilenceListener(Consumer<SilenceNotice> then) {
        silence = then;
    }

    public boolean isReady() {
        return directory.self().serving && membership.isUsable(port.now());
    }

    public void markUnready() {
        membership.stopServing();
    }

    public void tick() {
        var now = port.now();
        if (directory.newerFounding() != null) follow();
        directory.tick(now);
        membership.tick(now);
        coreClient.tick(now);
        requestExecutor.tick(now);
    }

    private void follow() {
        var f = directory.newerFounding();
        port.logEvent(
                Event.GENERATION_SUPERSEDED, "core " + Long.toHexString(f.coreId) + " generation " + f.generation);
        directory.followCore(f);
        membership.followCore();
    }

    public void receive(Object m) {
        var now = port.now();
        if (m instanceof Hello h) greeted(h, now);
        else if (m instanceof RenewalReplies v) membership.receive(v, now);
        else if (m instanceof RenewalReply v) membership.receive(v, now);
        else if (m instanceof Subscription s) membership.receive(s, now);
        else if (m instanceof TopicUpdate n) membership.receive(n, now);
        else if (m instanceof CommandResult v) coreClient.receive(v);
        else if (m instanceof PrefillNotice r) reading.accept(r);
        else if (m instanceof SilenceNotice s) silence.accept(s);
        else
            port.logEvent(Event.BAD_MESSAGE, "a router takes no " + m.getClass().getSimpleName());
    }

    private void greeted(Hello h, long now) {
        var alone = directory.self().coreId == 0;
        directory.receive(h, now);
        if (alone && directory.self().coreId != 0) membership.tick(now);
    }

    public void announceRunner(Announcement a, Consumer<CommandResult> then) {
        runnerLoads.recordAnnouncement(a.name(), a.incarnation(), a.load(), port.now());
        var c = new Commands.RunnerPut();
        c.service = a.service();
        c.runner = a.name();
        c.address = a.address();
        c.cell = a.cell();
        c.slots = a.slots();
        c.incarnation = a.incarnation();
        c.cold = a.cold();
        c.load = a.load();
        coreClient.request(Parts.partOf(a.service()), c, PATIENCE, then);
    }

    public void markRunnerLeaving(String service, String runner, long incarnation, Consumer<CommandResult> then) {
        runnerLoads.markLeaving(runner, incarnation);
        var c = new Commands.RunnerMark();
        c.service = service;
        c.runner = runner;
        c.incarnation = incarnation;
        c.state = Rows.Runner.LEAVING;
        coreClient.request(Parts.partOf(service), c, PATIENCE, then);
    }
}
