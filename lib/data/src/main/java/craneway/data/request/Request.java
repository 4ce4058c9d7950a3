package craneway.data.request;

import java.util.List;

/**
 * A request as a router accepted it.
 *
 * <p>{@link Request#id} is unique within the router process. {@link Request#work} is the service's kind of work.
 * {@link Request#regions} restricts where the request may run; an empty list does not. {@link Request#idempotencyKey}
 * identifies the work of a tenant across repeated requests, and is empty if the client gave none.
 * {@link Request#prefixHash} is a hash of the start of the prompt, used for affinity to a runner.
 * {@link Request#deadlineMicros} is in microseconds of the steady clock. {@link Request#forwarded} says whether the
 * request came from another router.
 */
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
