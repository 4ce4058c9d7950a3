package craneway.command.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import craneway.command.CommandException;

final class Plans {
    private static final ObjectMapper JSON = new ObjectMapper();

    private Plans() {}

    static JsonNode json(String text) {
        try {
            return JSON.readTree(text);
        } catch (JsonProcessingException e) {
            throw new CommandException(1, "the reply cannot be read: " + e.getOriginalMessage());
        }
    }

    static String text(String json) {
        var n = json(json);
        var b = new StringBuilder(
                "plan " + n.path("plan").asLong() + " (" + n.path("state").asText() + ")");
        if (n.has("intent")) b.append(": ").append(n.get("intent").asText());
        if (n.has("manifestVersion"))
            b.append("\n  based on manifest ")
                    .append(n.get("manifestVersion").asLong())
                    .append(", marks ")
                    .append(n.get("marksVersion").asLong());
        lines(b, "steps", n.path("steps"));
        lines(b, "expected", n.path("loads"));
        lines(b, "warnings", n.path("warnings"));
        lines(b, "not acknowledged yet by", n.path("notAcknowledged"));
        if (n.has("cause")) b.append("\n  cause: ").append(n.get("cause").asText());
        return b.toString();
    }

    private static void lines(StringBuilder b, String title, JsonNode all) {
        if (all.isEmpty()) return;
        b.append("\n  ").append(title).append(':');
        all.forEach(x -> b.append("\n    ").append(x.asText()));
    }
}
