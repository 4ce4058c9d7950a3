package craneway.command;

import craneway.http.AsyncHttpClient;
import craneway.http.BufferedHttpResponse;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

public final class OperatorClient implements AutoCloseable {
    private static final long PATIENCE_MILLIS = 10_000;

    private final XnioWorker worker;
    private final AsyncHttpClient httpClient;

    public OperatorClient() {
        try {
            worker = Xnio.getInstance()
                    .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 4, Options.TCP_NODELAY, true));
        } catch (IOException e) {
            throw new CommandException(1, e.getMessage());
        }
        httpClient = new AsyncHttpClient(worker);
    }

    public AsyncHttpClient httpClient() {
        return httpClient;
    }

    public BufferedHttpResponse request(
            List<String> at, HttpString method, String path, Map<HttpString, String> headers, String body) {
        IOException last = null;
        for (var a : at) {
            try {
                return checked(BufferedHttpResponse.fetch(
                        httpClient, a, method, path, headers, body.getBytes(StandardCharsets.UTF_8), PATIENCE_MILLIS));
            } catch (IOException e) {
                last = e;
                if (!method.equals(Methods.GET)) break;
            }
        }
        throw new CommandException(1, "no reply: " + (last == null ? "no address" : last.getMessage()));
    }

    private static BufferedHttpResponse checked(BufferedHttpResponse r) {
        if (r.status() < 400) return r;
        throw new CommandException(
                r.status() == 503 ? 4 : 3,
                "declined (" + r.status() + "): " + r.text().trim());
    }

    @Override
    public void close() {
        worker.shutdownNow();
    }
}
