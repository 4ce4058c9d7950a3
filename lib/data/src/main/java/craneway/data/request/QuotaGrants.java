package craneway.data.request;

import java.util.HashMap;
import java.util.Map;

/**
 * Quota that the core has granted to this router in advance, for each service and tenant, so that not every request
 * has to ask the core. Times are microseconds of the steady clock. Thread-safe.
 */
final class QuotaGrants {
    private record Grant(int remaining, long validUntil) {}

    private final Map<String, Grant> grants = new HashMap<>();

    /** Takes one request from a valid grant; returns false if there is none. */
    synchronized boolean take(String serviceAndTenant, long now) {
        var grant = grants.get(serviceAndTenant);
        if (grant == null || grant.remaining == 0 || now >= grant.validUntil) return false;
        grants.put(serviceAndTenant, new Grant(grant.remaining - 1, grant.validUntil));
        return true;
    }

    /**
     * Adds granted requests to what remains of an earlier grant; both are then valid until the new time. Removes
     * grants that end more than two minutes before that.
     */
    synchronized void add(String serviceAndTenant, int requests, long validUntil) {
        grants.values().removeIf(grant -> grant.validUntil < validUntil - 120_000_000);
        grants.merge(
                serviceAndTenant,
                new Grant(requests, validUntil),
                (old, added) -> new Grant(old.remaining + added.remaining, added.validUntil));
    }
}
