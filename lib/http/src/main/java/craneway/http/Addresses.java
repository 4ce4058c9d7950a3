package craneway.http;

import java.util.regex.Pattern;

/** Validates network addresses. */
public final class Addresses {
    private static final Pattern IPV4_AND_PORT =
            Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3}):(\\d{1,5})");

    private Addresses() {}

    /** Returns whether the text is not an IPv4 address with a port from 1 to 65535, written IP:PORT. */
    public static boolean isInvalid(String address) {
        var matcher = IPV4_AND_PORT.matcher(address);
        if (!matcher.matches()) return true;
        for (var i = 1; i <= 4; i++) if (Integer.parseInt(matcher.group(i)) > 255) return true;
        var port = Integer.parseInt(matcher.group(5));
        return port < 1 || port > 65535;
    }
}
