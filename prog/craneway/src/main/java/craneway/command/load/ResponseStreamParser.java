package craneway.command.load;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

/**
 * Parses a streamed response line by line: counts the events that carry a token and checks their order. Not
 * thread-safe.
 */
final class ResponseStreamParser {
    private static final Pattern TOKEN_INDEX = Pattern.compile("\"index_of_token\":(\\d+)");
    private static final Pattern PREFIX_CACHE_RESULT = Pattern.compile("\"prefix\":\"(hit|miss)\"");

    private final ByteArrayOutputStream lineBuffer = new ByteArrayOutputStream();
    private int tokenEvents;
    private boolean tokensInOrder = true;
    private boolean doneMarkerSeen;
    private String prefixCacheResult = "";

    /** Parses the next bytes of the response; an unfinished line is kept until its rest arrives. */
    void feed(byte[] bytes) {
        for (var next : bytes) {
            if (next != '\n') lineBuffer.write(next);
            else {
                parseLine(lineBuffer.toString(StandardCharsets.UTF_8).trim());
                lineBuffer.reset();
            }
        }
    }

    private void parseLine(String line) {
        if (line.equals("data: [DONE]")) {
            doneMarkerSeen = true;
            return;
        }
        var indexMatcher = TOKEN_INDEX.matcher(line);
        if (indexMatcher.find()) {
            if (doneMarkerSeen || Integer.parseInt(indexMatcher.group(1)) != tokenEvents) tokensInOrder = false;
            tokenEvents++;
        }
        var prefixMatcher = PREFIX_CACHE_RESULT.matcher(line);
        if (prefixMatcher.find()) prefixCacheResult = prefixMatcher.group(1);
    }

    /** Returns the number of events with a token so far. */
    int tokenEvents() {
        return tokenEvents;
    }

    /** Returns whether all token indexes came in order from 0 and none after the end marker. */
    boolean tokensInOrder() {
        return tokensInOrder;
    }

    /** Returns whether the end marker {@code [DONE]} has arrived. */
    boolean doneMarkerSeen() {
        return doneMarkerSeen;
    }

    /** Returns {@code hit} or {@code miss} as the runner reported it, or an empty string if it did not. */
    String prefixCacheResult() {
        return prefixCacheResult;
    }
}
