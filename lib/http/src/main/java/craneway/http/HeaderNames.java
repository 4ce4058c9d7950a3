package craneway.http;

import io.undertow.util.HttpString;
import java.util.zip.CRC32C;

/** The names of the headers of craneway's HTTP interfaces, and the values that belong to them. */
public final class HeaderNames {
    /** The tenant of a request. */
    public static final HttpString TENANT = new HttpString("craneway-tenant");
    /** The kind of work that a request asks for. */
    public static final HttpString WORK_KIND = new HttpString("craneway-work");
    /** The idempotency key of a run-once request. */
    public static final HttpString IDEMPOTENCY_KEY = new HttpString("craneway-key");
    /** The regions, separated by commas, that the client allows a request to run in. */
    public static final HttpString REGIONS = new HttpString("craneway-regions");
    /** How long the client waits for the response, in milliseconds. */
    public static final HttpString DEADLINE_MILLIS = new HttpString("craneway-deadline-ms");
    /** Marks a request that another router has forwarded. */
    public static final HttpString FORWARDED = new HttpString("craneway-hop");
    /** The version of the sender's placement table. */
    public static final HttpString TABLE_VERSION = new HttpString("craneway-table");
    /** The number of the problem that an error response reports. */
    public static final HttpString PROBLEM = new HttpString("craneway-problem");
    /** How long the caller should wait before it retries, in microseconds. */
    public static final HttpString RETRY_MICROS = new HttpString("craneway-retry-micros");
    /** The current load of the runner that sends a response. */
    public static final HttpString LOAD = new HttpString("craneway-load");
    /** The identity of a request within its router. */
    public static final HttpString TRANSACTION = new HttpString("craneway-transaction");
    /** The name of the router that sends a response. */
    public static final HttpString ROUTER = new HttpString("craneway-router");
    /** The identity of the core that the sender of a message belongs to. */
    public static final HttpString CORE = new HttpString("craneway-core");
    /** The version of the format of messages between processes. */
    public static final HttpString WIRE = new HttpString("craneway-wire");
    /** The checksum of the body, see {@link #checksum}. */
    public static final HttpString CHECKSUM = new HttpString("craneway-check");
    /** The version of the manifest that a change is based on. */
    public static final HttpString BASE_VERSION = new HttpString("craneway-base");
    /** The version of the manifest in a response. */
    public static final HttpString MANIFEST_VERSION = new HttpString("craneway-version");
    /** The message format version that this release sends. */
    public static final String WIRE_VERSION = "1";
    /**
     * The message format version of the next release, which this release accepts so that upgrades can be rolled out.
     */
    public static final String NEXT_WIRE_VERSION = "2";

    private HeaderNames() {}

    /** Returns the CRC-32C checksum of a body in hexadecimal digits. */
    public static String checksum(byte[] body) {
        var checksum = new CRC32C();
        checksum.update(body);
        return Long.toHexString(checksum.getValue());
    }
}
