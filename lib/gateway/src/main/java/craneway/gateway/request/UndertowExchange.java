package craneway.gateway.request;

import craneway.data.request.HttpExchange;
import craneway.http.HeaderNames;
import craneway.http.AsyncHttpClient;
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

final class UndertowExchange implements HttpExchange {
    private static final long CONNECT_MILLIS = 1_000, LOOK_MILLIS = 200;

    private final HttpServerExchange x;
    private final AsyncHttpClient caller;
    private final String router;
    private boolean piped;
    private final BlockingQueue<Runnable> box = new LinkedBlockingQueue<>();

    UndertowExchange(HttpServerExchange x, AsyncHttpClient caller, String router) {
        this.x = x;
        this.caller = caller;
        this.router = router;
    }

    void run(BooleanSupplier over, Runnable gone) throws InterruptedException {
        while (!over.getAsBoolean()) {
            var step = box.poll(LOOK_MILLIS, TimeUnit.MILLISECONDS);
            if (step != null) step.run();
            else if (hungUp()) gone.run();
        }
    }

    private boolean hungUp() {
        if (piped || !(x.getConnection() instanceof HttpServerConnection c)) return false;
        var b = ByteBuffer.allocate(1);
        try {
            var n = c.getOriginalSourceConduit().read(b);
            if (n <= 0) return n < 0;
            piped = true;
            c.ungetRequestBytes(new ImmediatePooledByteBuffer(b.flip()));
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    @Override
    public void runLater(Runnable step) {
        box.add(step);
    }

    @Override
    public OutgoingCall openCall(String address, String path, Map<String, String> headers, byte[] body, ResponseListener sink) {
        var h = new HashMap<HttpString, String>();
        headers.forEach((k, v) -> h.put(new HttpString(k), v));
        var call = caller.open(address, Methods.POST, path, h, body, CONNECT_MILLIS, new AsyncHttpClient.ResponseListener() {
            @Override
            public void onConnectFailure(String cause) {
                sink.onRefused();
            }

            @Override
            public void onHeaders(int code, HeaderMap map) {
                sink.onStatus(code, plain(map));
            }

            @Override
            public void onChunk(byte[] b) {
                sink.onChunk(b);
            }

            @Override
            public void onEnd() {
                sink.onEnd();
            }

            @Override
            public void onFailure(String cause) {
                sink.onBroken();
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

    private static Map<String, String> plain(HeaderMap map) {
        var h = new HashMap<String, String>();
        for (var v : map) h.put(v.getHeaderName().toString().toLowerCase(), v.getFirst());
        return h;
    }

    @Override
    public void startResponse() {
        x.setStatusCode(200);
        x.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
        x.getResponseHeaders().put(Headers.TRANSFER_ENCODING, "chunked");
        x.getResponseHeaders().put(Headers.CACHE_CONTROL, "no-store");
        x.getResponseHeaders().put(HeaderNames.ROUTER, router);
    }

    @Override
    public boolean writeChunk(byte[] b) {
        try {
            var o = x.getOutputStream();
            o.write(b);
            o.flush();
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void endResponse() {
        x.endExchange();
    }

    @Override
    public void sendProblem(Problem p) {
        JsonResponses.sendProblem(x, p);
    }

    @Override
    public void abortResponse(Problem p, boolean started) {
        if (started) writeChunk(("\n\nevent: error\ndata: " + JsonResponses.problemJson(p) + "\n\n").getBytes(StandardCharsets.UTF_8));
        IoUtils.safeClose(x.getConnection());
    }
}
