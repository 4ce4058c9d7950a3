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

public final class RequestParser {
    private static final JsonMapper JSON = JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();
    private static final Set<String> FIELDS =
            Set.of("model", "messages", "stream", "max_tokens", "temperature", "top_p", "stop", "seed", "user");
    private static final int PREFIX = 1_024;

    private RequestParser() {}

    public static Either<Problem, Request> parse(
            long id, HeaderMap h, byte[] body, boolean forwarded, ToLongFunction<String> deadlineOf, long now) {
        JsonNode n;
        try {
            n = JSON.readTree(body);
        } catch (JsonProcessingException e) {
            return no(ProblemKind.BAD_JSON, "the body is not well-formed JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            return no(ProblemKind.BAD_JSON, e.getMessage());
        }
        var wrong = wrong(n);
        if (wrong != null) return no(ProblemKind.BAD_FIELD, wrong);
        var tenant = value(h, HeaderNames.TENANT, n.path("user").asText(""));
        if (tenant.isBlank())
            return no(
                    ProblemKind.MISSING_TENANT, "name the tenant in the header " + HeaderNames.TENANT + " or the field user");
        if (tenant.length() > 128) return no(ProblemKind.BAD_FIELD, "the tenant's name is longer than 128 characters");
        var key = value(h, HeaderNames.IDEMPOTENCY_KEY, "");
        if (key.length() > 128) return no(ProblemKind.BAD_FIELD, "the key is longer than 128 characters");
        var service = n.get("model").asText();
        return deadline(h)
                .map(ms -> new Request(
                        id,
                        service,
                        tenant,
                        value(h, HeaderNames.WORK_KIND, ""),
                        regions(h),
                        key,
                        prefix(n),
                        now + (ms < 0 ? deadlineOf.applyAsLong(service) : ms * 1000),
                        forwarded,
                        body));
    }

    private static String wrong(JsonNode n) {
        if (n == null || !n.isObject()) return "the body is not a JSON object";
        for (var i = n.fieldNames(); i.hasNext(); ) {
            var f = i.next();
            if (!FIELDS.contains(f)) return "unknown field " + f;
        }
        if (!n.path("model").isTextual()) return "model must be a text";
        if (n.has("stream") && !n.get("stream").isBoolean() || !n.path("stream").asBoolean(true))
            return "stream must be true; every reply is a stream";
        var m = n.path("messages");
        if (!m.isArray() || m.isEmpty()) return "messages must be a list that is not empty";
        for (var x : m)
            if (!x.isObject()
                    || !x.path("role").isTextual()
                    || !x.path("content").isTextual()) return "each message needs a role and a content as text";
        if (n.has("max_tokens")
                && (!n.get("max_tokens").isInt() || n.get("max_tokens").asInt() < 1))
            return "max_tokens must be a whole number above 0";
        return n.has("user") && !n.get("user").isTextual() ? "user must be a text" : null;
    }

    private static long prefix(JsonNode n) {
        var first = n.get("messages").get(0).get("content").asText();
        return Hash.of(first.length() > PREFIX ? first.substring(0, PREFIX) : first);
    }

    private static Either<Problem, Long> deadline(HeaderMap h) {
        var v = h.getFirst(HeaderNames.DEADLINE_MILLIS);
        if (v == null) return Either.right(-1L);
        if (!v.matches("-?\\d{1,9}"))
            return no(ProblemKind.BAD_FIELD, HeaderNames.DEADLINE_MILLIS + " must be a whole number of milliseconds");
        var ms = Long.parseLong(v);
        return ms <= 0 ? no(ProblemKind.DEADLINE_PASSED, ProblemKind.DEADLINE_PASSED.text()) : Either.right(ms);
    }

    private static List<String> regions(HeaderMap h) {
        var all = new ArrayList<String>();
        for (var r : value(h, HeaderNames.REGIONS, "").split(",")) if (!r.isBlank()) all.add(r.trim());
        return all;
    }

    private static String value(HeaderMap h, HttpString name, String def) {
        var v = h.getFirst(name);
        return v == null ? def : v.trim();
    }

    private static <T> Either<Problem, T> no(ProblemKind k, String detail) {
        return Either.left(Problem.of(k, detail));
    }
}
