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

/**
 * A whole HTTP response, collected in memory.
 *
 * @param status the status code
 * @param headers the response headers
 * @param body the whole body
 */
public record BufferedHttpResponse(int status, HeaderMap headers, byte[] body) {
    /** Returns the body as UTF-8 text. */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /**
     * Sends a request and blocks until the whole response has arrived.
     *
     * @param timeoutMillis how long to wait for the response, in milliseconds; connecting may take at most 2,000 ms of
     *     it
     * @throws IOException if the connection fails, the response is incomplete or the time is up
     */
    public static BufferedHttpResponse fetch(
            AsyncHttpClient caller,
            String address,
            HttpString method,
            String path,
            Map<HttpString, String> headers,
            byte[] body,
            long timeoutMillis)
            throws IOException {
        var result = new CompletableFuture<BufferedHttpResponse>();
        var received = new ByteArrayOutputStream();
        var call = new AsyncHttpClient.Call[1];
        var listener = new AsyncHttpClient.ResponseListener() {
            int receivedStatus;
            HeaderMap receivedHeaders;

            @Override
            public void onConnectFailure(String cause) {
                result.completeExceptionally(new IOException(cause));
            }

            @Override
            public void onHeaders(int statusCode, HeaderMap responseHeaders) {
                receivedStatus = statusCode;
                receivedHeaders = responseHeaders;
            }

            @Override
            public void onChunk(byte[] bytes) {
                received.writeBytes(bytes);
                var opened = call[0];
                if (opened != null) opened.chunkConsumed();
            }

            @Override
            public void onEnd() {
                result.complete(new BufferedHttpResponse(receivedStatus, receivedHeaders, received.toByteArray()));
            }

            @Override
            public void onFailure(String cause) {
                result.completeExceptionally(new IOException(cause));
            }
        };
        call[0] = caller.open(address, method, path, headers, body, Math.min(timeoutMillis, 2_000), listener);
        try {
            return result.get(timeoutMillis, TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage());
        } catch (TimeoutException e) {
            call[0].cancel();
            throw new IOException(address + " did not respond within " + timeoutMillis + " ms");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted");
        }
    }
}
