package craneway.model.unit;

/** A unit is a region set and one of a hundred slices of the tenants, numbered set * 100 + slice. */
public final class Units {
    public static final int SLICE_COUNT = 100;
    public static final int MAX_REGIONS = 4;

    private Units() {}

    /** The slice of a tenant; it never changes. */
    public static int sliceOf(String tenant) {
        return Hash.bucket(Hash.of(tenant), SLICE_COUNT);
    }

    /** The unit of a tenant within a region set. */
    public static int unitOf(int regionSet, String tenant) {
        return regionSet * SLICE_COUNT + sliceOf(tenant);
    }

    /** The region set of a unit, as bits. */
    public static int regionSetOf(int unit) {
        return unit / SLICE_COUNT;
    }

    /** The slice of a unit. */
    public static int sliceOf(int unit) {
        return unit % SLICE_COUNT;
    }

    /** How many units there are with so many regions; those of the empty set are never used. */
    public static int unitCount(int regions) {
        return (1 << regions) * SLICE_COUNT;
    }

    /** Whether the region set holds this region. */
    public static boolean containsRegion(int regionSet, int region) {
        return (regionSet >> region & 1) == 1;
    }
}
