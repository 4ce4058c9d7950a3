package craneway.api.platform;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.util.function.BooleanSupplier;

/** Answers the probes of the platform: {@code /live} always, {@code /ready} once the process can serve requests. */
public final class ReadinessHandler implements HttpHandler {
    private final BooleanSupplier ready;

    /** Creates the handler; {@code ready} says whether the process can serve requests now. */
    public ReadinessHandler(BooleanSupplier ready) {
        this.ready = ready;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        switch (exchange.getRequestPath()) {
            case "/live" -> exchange.getResponseSender().send("live\n");
            case "/ready" -> {
                var isReady = ready.getAsBoolean();
                exchange.setStatusCode(isReady ? 200 : 503);
                exchange.getResponseSender().send(isReady ? "ready\n" : "not ready\n");
            }
            default -> exchange.setStatusCode(404).endExchange();
        }
    }
}
