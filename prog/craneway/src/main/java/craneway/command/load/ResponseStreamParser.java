package craneway.command.load;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

final class ResponseStreamParser {
    private static final Pattern TOKEN_INDEX = Pattern.compile("\"index_of_token\":(\\d+)");
    private static final Pattern PREFIX_CACHE_RESULT = Pattern.compile("\"prefix\":\"(hit|miss)\"");

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private int tokenEvents;
    private boolean tokensInOrder = true;
    private boolean doneMarkerSeen;
    private String prefixCacheResult = "";

    void feed(byte[] b) {
        for (var x : b) {
            if (x != '\n') line.write(x);
            else {
                line(line.toString(StandardCharsets.UTF_8).trim());
                line.reset();
            }
        }
    }

    private void line(String s) {
        if (s.equals("data: [DONE]")) {
            doneMarkerSeen = true;
            return;
        }
        var m = TOKEN_INDEX.matcher(s);
        if (m.find()) {
            if (doneMarkerSeen || Integer.parseInt(m.group(1)) != tokenEvents) tokensInOrder = false;
            tokenEvents++;
        }
        var p = PREFIX_CACHE_RESULT.matcher(s);
        if (p.find()) prefixCacheResult = p.group(1);
    }

    int tokenEvents() {
        return tokenEvents;
    }

    boolean tokensInOrder() {
        return tokensInOrder;
    }

    boolean doneMarkerSeen() {
        return doneMarkerSeen;
    }

    String prefixCacheResult() {
        return prefixCacheResult;
    }
}
