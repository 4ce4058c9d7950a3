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

/**
 * Sends HTTP requests to the operator addresses of routers and stores. Error responses become a {@link
 * CommandException}.
 */
public final class OperatorClient implements AutoCloseable {
    private static final long REQUEST_TIMEOUT_MILLIS = 10_000;

    private final XnioWorker worker;
    private final AsyncHttpClient httpClient;

    /** Creates a client with I/O threads of its own, which run until {@link #close}. */
    public OperatorClient() {
        try {
            worker = Xnio.getInstance()
                    .createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 4, Options.TCP_NODELAY, true));
        } catch (IOException e) {
            throw new CommandException(1, e.getMessage());
        }
        httpClient = new AsyncHttpClient(worker);
    }

    /** Returns the HTTP client that this client sends its requests with. */
    public AsyncHttpClient httpClient() {
        return httpClient;
    }

    /**
     * Sends a request to these addresses in turn until one responds, and returns the response.
     *
     * <p>A request other than GET is not sent to a second address, because the failed call may already have taken
     * effect.
     *
     * @param addresses operator addresses as IP:PORT
     * @throws CommandException with exit code 4 if the response has status 503, 3 if it has another status from 400 on,
     *     and 1 if no address responds
     */
    public BufferedHttpResponse request(
            List<String> addresses, HttpString method, String path, Map<HttpString, String> headers, String body) {
        IOException lastFailure = null;
        for (var address : addresses) {
            try {
                return requireSuccess(BufferedHttpResponse.fetch(
                        httpClient,
                        address,
                        method,
                        path,
                        headers,
                        body.getBytes(StandardCharsets.UTF_8),
                        REQUEST_TIMEOUT_MILLIS));
            } catch (IOException e) {
                lastFailure = e;
                if (!method.equals(Methods.GET)) break;
            }
        }
        throw new CommandException(1, "no reply: " + (lastFailure == null ? "no address" : lastFailure.getMessage()));
    }

    private static BufferedHttpResponse requireSuccess(BufferedHttpResponse response) {
        if (response.status() < 400) return response;
        throw new CommandException(
                response.status() == 503 ? 4 : 3,
                "declined (" + response.status() + "): " + response.text().trim());
    }

    @Override
    public void close() {
        worker.shutdownNow();
    }
}
