package craneway.command.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import craneway.command.CommandException;

/** Formats plans, which the operator interface returns as JSON, as text. */
final class PlanFormatter {
    private static final ObjectMapper JSON = new ObjectMapper();

    private PlanFormatter() {}

    /** Parses a reply as JSON; fails with exit code 1 if it is not JSON. */
    static JsonNode parseJson(String text) {
        try {
            return JSON.readTree(text);
        } catch (JsonProcessingException e) {
            throw new CommandException(1, "the reply is not valid JSON: " + e.getOriginalMessage());
        }
    }

    /** Returns the text for a plan, over several lines, without a final line break. */
    static String format(String json) {
        var plan = parseJson(json);
        var text = new StringBuilder(
                "plan " + plan.path("plan").asLong() + " (" + plan.path("state").asText() + ")");
        if (plan.has("intent")) text.append(": ").append(plan.get("intent").asText());
        if (plan.has("manifestVersion"))
            text.append("\n  based on manifest ")
                    .append(plan.get("manifestVersion").asLong())
                    .append(", marks ")
                    .append(plan.get("marksVersion").asLong());
        appendSection(text, "steps", plan.path("steps"));
        appendSection(text, "expected", plan.path("loads"));
        appendSection(text, "warnings", plan.path("warnings"));
        appendSection(text, "not acknowledged yet by", plan.path("notAcknowledged"));
        if (plan.has("cause"))
            text.append("\n  cause: ").append(plan.get("cause").asText());
        return text.toString();
    }

    private static void appendSection(StringBuilder text, String title, JsonNode entries) {
        if (entries.isEmpty()) return;
        text.append("\n  ").append(title).append(':');
        entries.forEach(entry -> text.append("\n    ").append(entry.asText()));
    }
}
