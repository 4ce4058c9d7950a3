package craneway.data.request;

import java.util.List;

public record Request(
        long id,
        String service,
        String tenant,
        String work,
        List<String> regions,
        String idempotencyKey,
        long prefixHash,
        long deadlineMicros,
        boolean forwarded,
        byte[] body) {}
