package craneway.gateway.proxy;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;

/** Forwards end-to-end headers, and reads the hop-by-hop ones that concern a single connection (RFC 9110, 7.6.1). */
final class ForwardedHeaders {
    private static final Set<HttpString> HOP_BY_HOP = Set.of(
            Headers.CONNECTION,
            Headers.KEEP_ALIVE,
            Headers.TRANSFER_ENCODING,
            Headers.TE,
            Headers.TRAILER,
            Headers.UPGRADE,
            Headers.PROXY_AUTHENTICATE,
            Headers.PROXY_AUTHORIZATION,
            new HttpString("Proxy-Connection"),
            Headers.EXPECT);

    private ForwardedHeaders() {}

    /** Copies all headers but the hop-by-hop ones; they replace headers of the same name. */
    static void copy(HeaderMap from, HeaderMap to) {
        var connectionOptions = connectionOptions(from);
        for (var header : from) {
            if (HOP_BY_HOP.contains(header.getHeaderName()) || connectionOptions.contains(header.getHeaderName()))
                continue;
            to.remove(header.getHeaderName());
            for (var value : header) to.add(header.getHeaderName(), value);
        }
    }

    /** The names listed in the Connection header, which makes them hop-by-hop headers. */
    private static Set<HttpString> connectionOptions(HeaderMap headers) {
        var options = new HashSet<HttpString>();
        var values = headers.get(Headers.CONNECTION);
        if (values != null)
            for (var value : values)
                for (var name : value.split(",")) if (!name.isBlank()) options.add(new HttpString(name.trim()));
        return options;
    }

    /** Whether the Connection header says that the connection will be closed after this message. */
    static boolean hasConnectionClose(HeaderMap headers) {
        var values = headers.get(Headers.CONNECTION);
        if (values == null) return false;
        for (var value : values) if (value.toLowerCase(Locale.ROOT).contains("close")) return true;
        return false;
    }

    /**
     * The timeout in the Keep-Alive header in microseconds; {@link RunnerConnectionPool#NOT_STATED} if there is none.
     */
    static long keepAliveMicros(HeaderMap headers) {
        var value = headers.getFirst(Headers.KEEP_ALIVE);
        if (value == null) return RunnerConnectionPool.NOT_STATED;
        for (var parameter : value.split(",")) {
            var keyAndValue = parameter.trim().split("=");
            if (keyAndValue.length == 2
                    && keyAndValue[0].equalsIgnoreCase("timeout")
                    && keyAndValue[1].matches("\\d{1,6}")) return Long.parseLong(keyAndValue[1]) * 1_000_000;
        }
        return RunnerConnectionPool.NOT_STATED;
    }
}
