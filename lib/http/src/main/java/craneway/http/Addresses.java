package craneway.http;

import java.util.regex.Pattern;

public final class Addresses {
    private static final Pattern SHAPE =
            Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3}):(\\d{1,5})");

    private Addresses() {}

    public static boolean isInvalid(String s) {
        var m = SHAPE.matcher(s);
        if (!m.matches()) return true;
        for (var i = 1; i <= 4; i++) if (Integer.parseInt(m.group(i)) > 255) return true;
        var port = Integer.parseInt(m.group(5));
        return port < 1 || port > 65535;
    }
}
