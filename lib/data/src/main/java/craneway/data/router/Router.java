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
import craneway.state.message.Messages.PrefillNotice;
import craneway.state.message.Messages.RenewalReplies;
import craneway.state.message.Messages.RenewalReply;
import craneway.state.message.Messages.SilenceNotice;
import craneway.state.message.Messages.Subscription;
import craneway.state.message.Messages.TopicUpdate;
import craneway.state.message.Node;
import craneway.state.record.Rows;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

/**
 * One router: its membership in the core, its knowledge of runners, and the execution of requests. The surrounding
 * process delivers messages to {@link Router#receive} and calls {@link Router#tick} regularly; the {@link Port}
 * sends messages and supplies the clock.
 */
public final class Router {
    /** How long a command on behalf of a runner waits for the core's response. */
    private static final long COMMAND_TIMEOUT_MICROS = 3_000_000;

    private final Port port;
    private final NodeDirectory directory;
    private final CoreClient coreClient;
    private final Membership membership;
    private final RunnerLoads runnerLoads = new RunnerLoads();
    private final RequestExecutor requestExecutor;
    private volatile Consumer<PrefillNotice> prefillListener = message -> {};
    private volatile Consumer<SilenceNotice> silenceListener = message -> {};

    /** Creates a router with the standard timing. */
    public Router(Port port, Node self, List<String> seeds, Random random) {
        this(port, self, seeds, TimingProfile.STANDARD, random);
    }

    /**
     * Creates a router.
     *
     * @param self this router's node
     * @param seeds addresses of nodes through which it finds the others
     */
    public Router(Port port, Node self, List<String> seeds, TimingProfile timing, Random random) {
        this.port = port;
        directory = new NodeDirectory(port, self, seeds, timing);
        coreClient = new CoreClient(port, directory, random.nextLong());
        membership = new Membership(port, directory, coreClient, timing);
        membership.setSignalSource(part -> requestExecutor().cellSignals().drain(part));
        requestExecutor = new RequestExecutor(port, directory, membership, coreClient, runnerLoads);
    }

    /** Returns the directory of known nodes. */
    public NodeDirectory directory() {
        return directory;
    }

    /** Returns the client that sends commands to the leaders of the parts. */
    public CoreClient coreClient() {
        return coreClient;
    }

    /** Returns the leases of this router and the state that it watches. */
    public Membership membership() {
        return membership;
    }

    /** Returns the executor of requests. */
    public RequestExecutor requestExecutor() {
        return requestExecutor;
    }

    /** Returns what this router knows of the load and health of runners. */
    public RunnerLoads runnerLoads() {
        return runnerLoads;
    }

    /** Sets the listener for messages of other routers that they gave a runner a prompt to prefill. */
    public void setPrefillListener(Consumer<PrefillNotice> listener) {
        prefillListener = listener;
    }

    /** Sets the listener for messages of other routers that they find a runner silent. */
    public void setSilenceListener(Consumer<SilenceNotice> listener) {
        silenceListener = listener;
    }

    /** Returns whether this router serves and its state of the core is recent enough for requests. */
    public boolean isReady() {
        return directory.self().serving && membership.isUsable(port.now());
    }

    /** Makes this router announce that it no longer serves; this cannot be undone. */
    public void markUnready() {
        membership.stopServing();
    }

    /** Does the periodic work: follows a newer core, renews leases, repeats commands and checks open requests. */
    public void tick() {
        var now = port.now();
        if (directory.newerFounding() != null) followNewerCore();
        directory.tick(now);
        membership.tick(now);
        coreClient.tick(now);
        requestExecutor.tick(now);
    }

    private void followNewerCore() {
        var founding = directory.newerFounding();
        port.logEvent(
                Event.GENERATION_SUPERSEDED,
                "core " + Long.toHexString(founding.coreId) + " generation " + founding.generation);
        directory.followCore(founding);
        membership.followCore();
    }

    /** Handles a message of another process; one of an unexpected type is logged and dropped. */
    public void receive(Object message) {
        var now = port.now();
        if (message instanceof Hello hello) receiveHello(hello, now);
        else if (message instanceof RenewalReplies replies) membership.receive(replies, now);
        else if (message instanceof RenewalReply reply) membership.receive(reply, now);
        else if (message instanceof Subscription subscription) membership.receive(subscription, now);
        else if (message instanceof TopicUpdate update) membership.receive(update, now);
        else if (message instanceof CommandResult result) coreClient.receive(result);
        else if (message instanceof PrefillNotice prefill) prefillListener.accept(prefill);
        else if (message instanceof SilenceNotice silence) silenceListener.accept(silence);
        else
            port.logEvent(
                    Event.BAD_MESSAGE,
                    "a router does not accept messages of type "
                            + message.getClass().getSimpleName());
    }

    private void receiveHello(Hello hello, long now) {
        var coreUnknown = directory.self().coreId == 0;
        directory.receive(hello, now);
        if (coreUnknown && directory.self().coreId != 0) membership.tick(now);
    }

    /**
     * Records an announcement of a runner and passes it on to the core.
     *
     * @param callback gets the core's result once, or a failure after 3 seconds
     */
    public void announceRunner(Announcement announcement, Consumer<CommandResult> callback) {
        runnerLoads.recordAnnouncement(
                announcement.name(), announcement.incarnation(), announcement.load(), port.now());
        var command = new Commands.RunnerPut();
        command.service = announcement.service();
        command.runner = announcement.name();
        command.address = announcement.address();
        command.cell = announcement.cell();
        command.slots = announcement.slots();
        command.incarnation = announcement.incarnation();
        command.cold = announcement.cold();
        command.load = announcement.load();
        coreClient.request(Parts.partOf(announcement.service()), command, COMMAND_TIMEOUT_MICROS, callback);
    }

    /**
     * Stops sending requests to this incarnation of a runner and tells the core that it is leaving.
     *
     * @param callback gets the core's result once, or a failure after 3 seconds
     */
    public void markRunnerLeaving(String service, String runner, long incarnation, Consumer<CommandResult> callback) {
        runnerLoads.markLeaving(runner, incarnation);
        var command = new Commands.RunnerMark();
        command.service = service;
        command.runner = runner;
        command.incarnation = incarnation;
        command.state = Rows.Runner.LEAVING;
        coreClient.request(Parts.partOf(service), command, COMMAND_TIMEOUT_MICROS, callback);
    }
}
