package craneway.model.unit;

/**
 * The numbering of units. A unit is a set of regions combined with one of 100 slices of the tenants; its number is
 * {@code regionSet * 100 + slice}, where the region set is a bit mask.
 */
public final class Units {
    /** The number of slices that the tenants are divided into. */
    public static final int SLICE_COUNT = 100;
    /** The most regions that a manifest can have. */
    public static final int MAX_REGIONS = 4;

    private Units() {}

    /** Returns the slice of a tenant, which never changes. */
    public static int sliceOf(String tenant) {
        return Hash.bucket(Hash.of(tenant), SLICE_COUNT);
    }

    /** Returns the unit of a tenant whose requests may run in this region set. */
    public static int unitOf(int regionSet, String tenant) {
        return regionSet * SLICE_COUNT + sliceOf(tenant);
    }

    /** Returns the region set of a unit as a bit mask. */
    public static int regionSetOf(int unit) {
        return unit / SLICE_COUNT;
    }

    /** Returns the slice of a unit. */
    public static int sliceOf(int unit) {
        return unit % SLICE_COUNT;
    }

    /**
     * Returns the number of units for this number of regions. It includes the units of the empty set, which are never
     * used.
     */
    public static int unitCount(int regions) {
        return (1 << regions) * SLICE_COUNT;
    }

    /** Returns whether the region set contains the region with this number. */
    public static boolean containsRegion(int regionSet, int region) {
        return (regionSet >> region & 1) == 1;
    }
}
