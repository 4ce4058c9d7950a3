package craneway.http;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

public record BufferedHttpResponse(int status, HeaderMap headers, byte[] body) {
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    public static BufferedHttpResponse fetch(
            AsyncHttpClient caller,
            String address,
            HttpString method,
            String path,
            Map<HttpString, String> headers,
            byte[] body,
            long millis)
            throws IOException {
        var f = new CompletableFuture<BufferedHttpResponse>();
        var whole = new ByteArrayOutputStream();
        var call = new AsyncHttpClient.Call[1];
        var sink = new AsyncHttpClient.ResponseListener() {
            int code;
            HeaderMap map;

            @Override
            public void onConnectFailure(String cause) {
                f.completeExceptionally(new IOException(cause));
            }

            @Override
            public void onHeaders(int c, HeaderMap h) {
                code = c;
                map = h;
            }

            @Override
            public void onChunk(byte[] b) {
                whole.writeBytes(b);
                var c = call[0];
                if (c != null) c.chunkConsumed();
            }

            @Override
            public void onEnd() {
                f.complete(new BufferedHttpResponse(code, map, whole.toByteArray()));
            }

            @Override
            public void onFailure(String cause) {
                f.completeExceptionally(new IOException(cause));
            }
        };
        call[0] = caller.open(address, method, path, headers, body, Math.min(millis, 2_000), sink);
        try {
            return f.get(millis, TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage());
        } catch (TimeoutException e) {
            call[0].cancel();
            throw new IOException(address + " did not reply in " + millis + " ms");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted");
        }
    }
}
