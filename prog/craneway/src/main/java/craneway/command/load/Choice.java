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

final class Choice implements AutoCloseable {
    private final OperatorClient web;
    private final List<String> to;
    private final List<String> platform;
    private final ScheduledExecutorService checks = Executors.newSingleThreadScheduledExecutor();
    private volatile List<String> ready;

    Choice(OperatorClient web, List<String> to, List<String> platform) {
        this.web = web;
        this.to = to;
        this.platform = platform;
        ready = to;
        if (platform.isEmpty()) return;
        check();
        checks.scheduleAtFixedRate(this::check, 1, 1, TimeUnit.SECONDS);
    }

    private void check() {
        var now = new ArrayList<String>();
        for (var i = 0; i < to.size(); i++) if (ready(platform.get(i))) now.add(to.get(i));
        ready = now.isEmpty() ? to : List.copyOf(now);
    }

    private boolean ready(String address) {
        try {
            return BufferedHttpResponse.fetch(web.httpClient(), address, Methods.GET, "/ready", Map.of(), new byte[0], 500)
                            .status()
                    == 200;
        } catch (IOException e) {
            return false;
        }
    }

    String pick(Random r) {
        var all = ready;
        return all.get(r.nextInt(all.size()));
    }

    @Override
    public void close() {
        checks.shutdownNow();
    }
}
