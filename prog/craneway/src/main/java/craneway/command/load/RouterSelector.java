package craneway.command.load;

import craneway.command.OperatorClient;
import craneway.http.BufferedHttpResponse;
import io.undertow.util.Methods;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Selects a random router for each submission. If platform addresses are given, only routers that report ready are
 * selected, or all routers while none does. Readiness is checked every second. Thread-safe.
 */
final class RouterSelector implements AutoCloseable {
    private final OperatorClient client;
    private final List<String> requesterAddresses;
    private final List<String> platformAddresses;
    private final ScheduledExecutorService readinessScheduler = Executors.newSingleThreadScheduledExecutor();
    private volatile List<String> readyAddresses;

    /**
     * Creates a selector.
     *
     * @param requesterAddresses the requester addresses of the routers
     * @param platformAddresses their platform addresses in the same order, or none
     */
    RouterSelector(OperatorClient client, List<String> requesterAddresses, List<String> platformAddresses) {
        this.client = client;
        this.requesterAddresses = requesterAddresses;
        this.platformAddresses = platformAddresses;
        readyAddresses = requesterAddresses;
        if (platformAddresses.isEmpty()) return;
        updateReadyAddresses();
        readinessScheduler.scheduleAtFixedRate(this::updateReadyAddresses, 1, 1, TimeUnit.SECONDS);
    }

    private void updateReadyAddresses() {
        var nowReady = new ArrayList<String>();
        for (var i = 0; i < requesterAddresses.size(); i++)
            if (isReady(platformAddresses.get(i))) nowReady.add(requesterAddresses.get(i));
        readyAddresses = nowReady.isEmpty() ? requesterAddresses : List.copyOf(nowReady);
    }

    /** Returns whether the router reports within 500 ms that it is ready. */
    private boolean isReady(String address) {
        try {
            return BufferedHttpResponse.fetch(
                                    client.httpClient(), address, Methods.GET, "/ready", Map.of(), new byte[0], 500)
                            .status()
                    == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns the requester address of a router that is ready. */
    String selectAddress(Random random) {
        var candidates = readyAddresses;
        return candidates.get(random.nextInt(candidates.size()));
    }

    @Override
    public void close() {
        readinessScheduler.shutdownNow();
    }
}
