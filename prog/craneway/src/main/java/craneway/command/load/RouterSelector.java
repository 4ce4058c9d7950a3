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

final class RouterSelector implements AutoCloseable {
    private final OperatorClient client;
    private final List<String> requesterAddresses;
    private final List<String> platformAddresses;
    private final ScheduledExecutorService readinessScheduler = Executors.newSingleThreadScheduledExecutor();
    private volatile List<String> ready;

    RouterSelector(OperatorClient web, List<String> to, List<String> platform) {
        this.client = web;
        this.requesterAddresses = to;
        this.platformAddresses = platform;
        ready = to;
        if (platform.isEmpty()) return;
        updateReadyAddresses();
        readinessScheduler.scheduleAtFixedRate(this::updateReadyAddresses, 1, 1, TimeUnit.SECONDS);
    }

    private void updateReadyAddresses() {
        var now = new ArrayList<String>();
        for (var i = 0; i < requesterAddresses.size(); i++) if (ready(platformAddresses.get(i))) now.add(requesterAddresses.get(i));
        ready = now.isEmpty() ? requesterAddresses : List.copyOf(now);
    }

    private boolean ready(String address) {
        try {
            return BufferedHttpResponse.fetch(client.caller(), address, Methods.GET, "/ready", Map.of(), new byte[0], 500)
                            .status()
                    == 200;
        } catch (IOException e) {
            return false;
        }
    }

    String selectAddress(Random r) {
        var all = ready;
        return all.get(r.nextInt(all.size()));
    }

    @Override
    public void close() {
        readinessScheduler.shutdownNow();
    }
}
