package craneway.gateway.request;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import craneway.data.request.Request;
import craneway.http.HeaderNames;
import craneway.model.problem.ProblemKind;
import craneway.model.problem.Problem;
import craneway.model.unit.Hash;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.ToLongFunction;

/** Parses and validates a completion request from its headers and JSON body. */
public final class RequestParser {
    private static final JsonMapper JSON = JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();
    private static final Set<String> KNOWN_FIELDS =
            Set.of("model", "messages", "stream", "max_tokens", "temperature", "top_p", "stop", "seed", "user");

    /** How many characters of the first message are hashed as the prompt's prefix. */
    private static final int MAX_PREFIX_CHARS = 1_024;

    private RequestParser() {}

    /**
     * Parses a request.
     *
     * @param id the id that the request gets in this process
     * @param forwarded whether another router forwarded the request
     * @param defaultDeadline returns the time in microseconds that a request for a service has if it states no deadline
     * @param now the time by the steady clock, in microseconds
     * @return the request, or the problem to send to the client
     */
    public static Either<Problem, Request> parse(
            long id,
            HeaderMap headers,
            byte[] body,
            boolean forwarded,
            ToLongFunction<String> defaultDeadline,
            long now) {
        JsonNode root;
        try {
            root = JSON.readTree(body);
        } catch (JsonProcessingException e) {
            return problem(ProblemKind.BAD_JSON, "the body is not well-formed JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            return problem(ProblemKind.BAD_JSON, e.getMessage());
        }
        var invalidField = findInvalidField(root);
        if (invalidField != null) return problem(ProblemKind.BAD_FIELD, invalidField);
        var tenant =
                headerOrDefault(headers, HeaderNames.TENANT, root.path("user").asText(""));
        if (tenant.isBlank())
            return problem(
                    ProblemKind.MISSING_TENANT, "name the tenant in the header " + HeaderNames.TENANT + " or the field user");
        if (tenant.length() > 128) return problem(ProblemKind.BAD_FIELD, "the tenant's name is longer than 128 characters");
        var idempotencyKey = headerOrDefault(headers, HeaderNames.IDEMPOTENCY_KEY, "");
        if (idempotencyKey.length() > 128) return problem(ProblemKind.BAD_FIELD, "the key is longer than 128 characters");
        var service = root.get("model").asText();
        return remainingMillis(headers)
                .map(millis -> new Request(
                        id,
                        service,
                        tenant,
                        headerOrDefault(headers, HeaderNames.WORK_KIND, ""),
                        regions(headers),
                        idempotencyKey,
                        prefixHash(root),
                        now + (millis < 0 ? defaultDeadline.applyAsLong(service) : millis * 1000),
                        forwarded,
                        body));
    }

    /** The message that describes the first invalid field of the body, null if the body is valid. */
    private static String findInvalidField(JsonNode root) {
        if (root == null || !root.isObject()) return "the body is not a JSON object";
        for (var names = root.fieldNames(); names.hasNext(); ) {
            var name = names.next();
            if (!KNOWN_FIELDS.contains(name)) return "unknown field " + name;
        }
        if (!root.path("model").isTextual()) return "model must be a text";
        if (root.has("stream") && !root.get("stream").isBoolean()
                || !root.path("stream").asBoolean(true)) return "stream must be true; every reply is a stream";
        var messages = root.path("messages");
        if (!messages.isArray() || messages.isEmpty()) return "messages must be a list that is not empty";
        for (var message : messages)
            if (!message.isObject()
                    || !message.path("role").isTextual()
                    || !message.path("content").isTextual()) return "each message needs a role and a content as text";
        if (root.has("max_tokens")
                && (!root.get("max_tokens").isInt() || root.get("max_tokens").asInt() < 1))
            return "max_tokens must be a whole number above 0";
        return root.has("user") && !root.get("user").isTextual() ? "user must be a text" : null;
    }

    private static long prefixHash(JsonNode root) {
        var content = root.get("messages").get(0).get("content").asText();
        return Hash.of(content.length() > MAX_PREFIX_CHARS ? content.substring(0, MAX_PREFIX_CHARS) : content);
    }

    /** The milliseconds until the deadline that the header states; -1 if it states none. */
    private static Either<Problem, Long> remainingMillis(HeaderMap headers) {
        var value = headers.getFirst(HeaderNames.DEADLINE_MILLIS);
        if (value == null) return Either.right(-1L);
        if (!value.matches("-?\\d{1,9}"))
            return problem(ProblemKind.BAD_FIELD, HeaderNames.DEADLINE_MILLIS + " must be a whole number of milliseconds");
        var millis = Long.parseLong(value);
        return millis <= 0 ? problem(ProblemKind.DEADLINE_PASSED, ProblemKind.DEADLINE_PASSED.text()) : Either.right(millis);
    }

    private static List<String> regions(HeaderMap headers) {
        var regions = new ArrayList<String>();
        for (var region : headerOrDefault(headers, HeaderNames.REGIONS, "").split(","))
            if (!region.isBlank()) regions.add(region.trim());
        return regions;
    }

    private static String headerOrDefault(HeaderMap headers, HttpString name, String defaultValue) {
        var value = headers.getFirst(name);
        return value == null ? defaultValue : value.trim();
    }

    private static <T> Either<Problem, T> problem(ProblemKind kind, String detail) {
        return Either.left(Problem.of(kind, detail));
    }
}
