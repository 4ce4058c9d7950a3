package craneway.gateway.proxy;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.nio.charset.StandardCharsets;

/**
 * The head of a request to a runner: the method and target that the client sent, and the forwarded headers.
 *
 * @param target the path with the query
 */
record RequestHead(HttpString method, String target, HeaderMap headers) {
    private static final int INITIAL_CAPACITY_CHARS = 512;

    /** Whether responses to this request have no body, whatever their head says. */
    boolean hasBodilessResponse() {
        return method.equals(Methods.HEAD);
    }

    /** Encodes the head, including the empty line that ends it. */
    byte[] toBytes() {
        var text = new StringBuilder(INITIAL_CAPACITY_CHARS);
        text.append(method).append(' ').append(target).append(" HTTP/1.1\r\n");
        for (var header : headers)
            for (var value : header)
                text.append(header.getHeaderName()).append(": ").append(value).append("\r\n");
        return text.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    }
}
