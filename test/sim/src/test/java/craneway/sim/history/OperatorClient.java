package craneway.sim.history;

import craneway.sim.Simulation;
import craneway.sim.history.Operation.Outcome;
import craneway.sim.history.OperatorEndpoint.Request;
import craneway.sim.history.OperatorEndpoint.Response;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;

/**
 * A simulated operator: sends configurations based on the newest version it knows, resends accepted ones, empties zones
 * and takes them back, and reads back. Records what it observes.
 */
final class OperatorClient {
    private static final long CONFIGURATION_TIMEOUT_MICROS = 10_000_000;
    private static final long ZONE_COMMAND_TIMEOUT_MICROS = 6_000_000;
    private static final long READ_TIMEOUT_MICROS = 3_000_000;
    private static final long MAX_THINK_MICROS = 900_000;
    private static final int MAX_NUMBER_STEP = 3;

    private final String name;
    private final Simulation sim;
    private final Random random;
    private final OperatorNetwork net;
    private final Supplier<List<String>> nodeNames;
    private final List<Operation> history;
    private final List<Request> acceptedConfigurations = new ArrayList<>();
    private final long endTime;
    private final Runnable onAcknowledged;
    private long newestKnownNumber;
    private int configurationCount;

    /**
     * Creates an operator.
     *
     * @param nodeNames the nodes to call
     * @param history receives the operations
     * @param endTime when to send no further commands
     * @param onAcknowledged runs after each acknowledged command of this operator
     */
    OperatorClient(
            String name,
            Simulation sim,
            OperatorNetwork net,
            Supplier<List<String>> nodeNames,
            List<Operation> history,
            long endTime,
            Runnable onAcknowledged) {
        this.onAcknowledged = onAcknowledged;
        this.name = name;
        this.sim = sim;
        this.net = net;
        this.nodeNames = nodeNames;
        this.history = history;
        this.endTime = endTime;
        random = new Random(sim.random.nextLong());
    }

    /** Sends one command after the other, with pauses, until the end time. */
    void scheduleNext() {
        sim.scheduleAfter((long) (random.nextDouble() * MAX_THINK_MICROS), () -> {
            if (sim.now() < endTime) sendNext();
        });
    }

    private void sendNext() {
        var draw = random.nextDouble();
        if (newestKnownNumber == 0 || draw < 0.35) configure();
        else if (draw < 0.45 && !acceptedConfigurations.isEmpty())
            sendConfiguration(acceptedConfigurations.get(random.nextInt(acceptedConfigurations.size())));
        else if (draw < 0.75) markZone("z" + (1 + random.nextInt(2)), random.nextBoolean());
        else read(READ_TIMEOUT_MICROS);
    }

    private void configure() {
        var value = name + "-" + ++configurationCount;
        sendConfiguration(
                Request.configure(newestKnownNumber, newestKnownNumber + 1 + random.nextInt(MAX_NUMBER_STEP), value));
    }

    private void sendConfiguration(Request request) {
        call(request, CONFIGURATION_TIMEOUT_MICROS, new OperatorCall.Listener() {
            @Override
            public void attemptEnded(long sentAt, Response response) {}

            @Override
            public void callEnded(long sentAt, Response response) {
                history.add(Operation.configure(
                        name,
                        request.baseVersion(),
                        request.version(),
                        request.value(),
                        sentAt,
                        sim.now(),
                        outcome(response)));
                if (response != null && response.isOk()) recordAccepted(request);
                else read(READ_TIMEOUT_MICROS);
                if (response != null && response.isOk()) scheduleNext();
            }
        });
    }

    private void recordAccepted(Request request) {
        if (!acceptedConfigurations.contains(request)) acceptedConfigurations.add(request);
        newestKnownNumber = Math.max(newestKnownNumber, request.version());
        onAcknowledged.run();
    }

    private static Outcome outcome(Response response) {
        if (response == null) return Outcome.UNCLEAR;
        return response.isOk() ? Outcome.ACKNOWLEDGED : Outcome.REFUSED;
    }

    /**
     * Marks a zone. Each attempt is recorded as an operation of its own: a store cannot tell them apart, so each may
     * take effect.
     */
    private void markZone(String zone, boolean emptied) {
        call(Request.markZone(zone, emptied), ZONE_COMMAND_TIMEOUT_MICROS, new OperatorCall.Listener() {
            @Override
            public void attemptEnded(long sentAt, Response response) {
                var outcome = response != null && response.status() >= 500 || response == Response.BROKEN
                        ? Outcome.UNCLEAR
                        : outcome(response);
                history.add(Operation.markZone(name, zone, emptied, sentAt, sim.now(), outcome));
                if (outcome == Outcome.ACKNOWLEDGED) onAcknowledged.run();
            }

            @Override
            public void callEnded(long startedAt, Response response) {
                scheduleNext();
            }
        });
    }

    /** Reads back, and then goes on. */
    void read(long timeout) {
        call(Request.read(), timeout, new OperatorCall.Listener() {
            @Override
            public void attemptEnded(long sentAt, Response response) {
                if (response != null && response.isOk()) recordRead(sentAt, response);
            }

            @Override
            public void callEnded(long startedAt, Response response) {
                scheduleNext();
            }
        });
    }

    private void recordRead(long sentAt, Response response) {
        var manifest = response.manifest();
        newestKnownNumber = Math.max(newestKnownNumber, manifest.version);
        var value = manifest.version == 0 ? Operation.NO_CONFIGURATION : OperatorEndpoint.value(manifest.sourceText);
        history.add(Operation.readConfiguration(name, manifest.version, value, sentAt, sim.now()));
        for (var zone : List.of("z1", "z2"))
            history.add(Operation.readZone(name, zone, manifest.marks.containsKey("zone:" + zone), sentAt, sim.now()));
    }

    private void call(Request request, long timeout, OperatorCall.Listener listener) {
        new OperatorCall(sim, net, nodeNames, request, timeout, listener).startAttempt();
    }
}
