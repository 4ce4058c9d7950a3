package craneway.data.runner;

/**
 * The message in which a runner announces itself. The component names are the JSON fields.
 *
 * <p>{@code slots} is the number of requests that the runner processes concurrently and {@code load} the number
 * that it has now. {@code incarnation} rises with each start of a runner of this name. {@code cold} says whether
 * the runner is still warming up, so that it may get only few requests.
 */
public record Announcement(
        String service,
        String name,
        String address,
        String cell,
        int slots,
        long incarnation,
        boolean cold,
        int load) {}
