package craneway.command.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import craneway.command.CommandFailure;

final class PlanFormatter {
    private static final ObjectMapper JSON = new ObjectMapper();

    private PlanFormatter() {}

    static JsonNode parseJson(String text) {
        try {
            return JSON.readTree(text);
        } catch (JsonProcessingException e) {
            throw new CommandFailure(1, "the reply cannot be read: " + e.getOriginalMessage());
        }
    }

    static String format(String json) {
        var n = parseJson(json);
        var b = new StringBuilder(
                "plan " + n.path("plan").asLong() + " (" + n.path("state").asText() + ")");
        if (n.has("intent")) b.append(": ").append(n.get("intent").asText());
        if (n.has("manifestVersion"))
            b.append("\n  based on manifest ")
                    .append(n.get("manifestVersion").asLong())
                    .append(", marks ")
                    .append(n.get("marksVersion").asLong());
        appendSection(b, "steps", n.path("steps"));
        appendSection(b, "expected", n.path("loads"));
        appendSection(b, "warnings", n.path("warnings"));
        appendSection(b, "not acknowledged yet by", n.path("notAcknowledged"));
        if (n.has("cause")) b.append("\n  cause: ").append(n.get("cause").asText());
        return b.toString();
    }

    private static void appendSection(StringBuilder b, String title, JsonNode all) {
        if (all.isEmpty()) return;
        b.append("\n  ").append(title).append(':');
        all.forEach(x -> b.append("\n    ").append(x.asText()));
    }
}
