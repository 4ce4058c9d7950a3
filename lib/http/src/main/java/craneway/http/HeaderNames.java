package craneway.http;

import io.undertow.util.HttpString;
import java.util.zip.CRC32C;

public final class HeaderNames {
    public static final HttpString TENANT = new HttpString("craneway-tenant");
    public static final HttpString WORK_KIND = new HttpString("craneway-work");
    public static final HttpString IDEMPOTENCY_KEY = new HttpString("craneway-key");
    public static final HttpString REGIONS = new HttpString("craneway-regions");
    public static final HttpString DEADLINE_MILLIS = new HttpString("craneway-deadline-ms");
    public static final HttpString FORWARDED = new HttpString("craneway-hop");
    public static final HttpString TABLE_VERSION = new HttpString("craneway-table");
    public static final HttpString PROBLEM = new HttpString("craneway-problem");
    public static final HttpString RETRY_MICROS = new HttpString("craneway-retry-micros");
    public static final HttpString LOAD = new HttpString("craneway-load");
    public static final HttpString TRANSACTION = new HttpString("craneway-transaction");
    public static final HttpString ROUTER = new HttpString("craneway-router");
    public static final HttpString CORE = new HttpString("craneway-core");
    public static final HttpString WIRE = new HttpString("craneway-wire");
    public static final HttpString CHECKSUM = new HttpString("craneway-check");
    public static final HttpString BASE_VERSION = new HttpString("craneway-base");
    public static final HttpString MANIFEST_VERSION = new HttpString("craneway-version");
    public static final String WIRE_VERSION = "1", NEXT_WIRE_VERSION = "2";

    private HeaderNames() {}

    public static String checksum(byte[] body) {
        var c = new CRC32C();
        c.update(body);
        return Long.toHexString(c.getValue());
    }
}
