package craneway.gateway.request;

import craneway.data.request.HttpExchange;
import craneway.http.AsyncHttpClient;
import craneway.http.HeaderNames;
import craneway.http.JsonResponses;
import craneway.model.problem.Problem;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.ImmediatePooledByteBuffer;
import io.undertow.util.Methods;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.xnio.IoUtils;

/**
 * One client request on Undertow. A worker thread runs the request's steps one after another in {@link #runSteps} and
 * writes the response with blocking I/O; other threads queue further steps.
 */
final class UndertowExchange implements HttpExchange {
    private static final long CONNECT_TIMEOUT_MILLIS = 1_000;

    /** How often the connection is checked for a disconnect while there is no step to run. */
    private static final long DISCONNECT_CHECK_INTERVAL_MILLIS = 200;

    private final HttpServerExchange exchange;
    private final AsyncHttpClient caller;
    private final String routerName;
    private boolean pipelining;
    private final BlockingQueue<Runnable> steps = new LinkedBlockingQueue<>();

    UndertowExchange(HttpServerExchange exchange, AsyncHttpClient caller, String routerName) {
        this.exchange = exchange;
        this.caller = caller;
        this.routerName = routerName;
    }

    /**
     * Runs steps until the request is finished; runs {@code onDisconnect} at each check that finds the client
     * disconnected.
     */
    void runSteps(BooleanSupplier finished, Runnable onDisconnect) throws InterruptedException {
        while (!finished.getAsBoolean()) {
            var step = steps.poll(DISCONNECT_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            if (step != null) step.run();
            else if (isDisconnected()) onDisconnect.run();
        }
    }

    /** Whether the client closed its connection; not detected once it has sent bytes after its request. */
    private boolean isDisconnected() {
        if (pipelining || !(exchange.getConnection() instanceof HttpServerConnection connection)) return false;
        var buffer = ByteBuffer.allocate(1);
        try {
            var byteCount = connection.getOriginalSourceConduit().read(buffer);
            if (byteCount <= 0) return byteCount < 0;
            pipelining = true;
            connection.ungetRequestBytes(new ImmediatePooledByteBuffer(buffer.flip()));
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    @Override
    public void runLater(Runnable step) {
        steps.add(step);
    }

    @Override
    public OutgoingCall openCall(
            String address, String path, Map<String, String> headers, byte[] body, ResponseListener listener) {
        var callHeaders = new HashMap<HttpString, String>();
        headers.forEach((name, value) -> callHeaders.put(new HttpString(name), value));
        var call = caller.open(
                address,
                Methods.POST,
                path,
                callHeaders,
                body,
                CONNECT_TIMEOUT_MILLIS,
                new AsyncHttpClient.ResponseListener() {
                    @Override
                    public void onConnectFailure(String cause) {
                        listener.onRefused();
                    }

                    @Override
                    public void onHeaders(int code, HeaderMap responseHeaders) {
                        listener.onStatus(code, toLowerCaseMap(responseHeaders));
                    }

                    @Override
                    public void onChunk(byte[] bytes) {
                        listener.onChunk(bytes);
                    }

                    @Override
                    public void onEnd() {
                        listener.onEnd();
                    }

                    @Override
                    public void onFailure(String cause) {
                        listener.onBroken();
                    }
                });
        return new OutgoingCall() {
            @Override
            public void acknowledgeChunk() {
                call.chunkConsumed();
            }

            @Override
            public void cancel() {
                call.cancel();
            }
        };
    }

    /** The first value of each header, by its name in lower case. */
    private static Map<String, String> toLowerCaseMap(HeaderMap headers) {
        var map = new HashMap<String, String>();
        for (var values : headers) map.put(values.getHeaderName().toString().toLowerCase(), values.getFirst());
        return map;
    }

    @Override
    public void startResponse() {
        exchange.setStatusCode(200);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
        exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, "chunked");
        exchange.getResponseHeaders().put(Headers.CACHE_CONTROL, "no-store");
        exchange.getResponseHeaders().put(HeaderNames.ROUTER, routerName);
    }

    @Override
    public boolean writeChunk(byte[] bytes) {
        try {
            var output = exchange.getOutputStream();
            output.write(bytes);
            output.flush();
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void endResponse() {
        exchange.endExchange();
    }

    @Override
    public void sendProblem(Problem problem) {
        JsonResponses.sendProblem(exchange, problem);
    }

    @Override
    public void abortResponse(Problem problem, boolean started) {
        if (started)
            writeChunk(("\n\nevent: error\ndata: " + JsonResponses.problemJson(problem) + "\n\n")
                    .getBytes(StandardCharsets.UTF_8));
        IoUtils.safeClose(exchange.getConnection());
    }
}
