package craneway.control.store;

/**
 * How a store keeps its core. Times are microseconds.
 *
 * @param founders how many empty stores found a core
 * @param seedsOnly whether only the seeds named at the first start may found it, and only stores started at that time
 * @param firstStart whether this is that time
 * @param dark after how long a silent runner counts as gone
 * @param forgotten after how long a runner that is leaving or gone is forgotten; 0: never
 */
public record CoreSettings(int founderCount, boolean seedsOnly, boolean firstStart, long darkAfterMicros, long forgetAfterMicros) {
    private static final long DARK = 3_000_000;

    public static CoreSettings of(int founders) {
        return new CoreSettings(founders, false, true, DARK, 0);
    }
}
