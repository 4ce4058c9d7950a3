package craneway.control.store;

/**
 * How a store bootstraps its core and how long it remembers runners. Times are microseconds.
 *
 * @param founderCount how many empty stores bootstrap a core together
 * @param seedsOnly whether only the seeds named at the first start may bootstrap the core, and only stores started at
 *     that time
 * @param firstStart whether this is the first start of the system
 * @param darkAfterMicros how long a runner may be silent before it is marked as dark
 * @param forgetAfterMicros how long after its end a runner that left or went dark is forgotten; 0 for never
 */
public record CoreSettings(
        int founderCount, boolean seedsOnly, boolean mayBootstrap, long darkAfterMicros, long forgetAfterMicros) {
    private static final long DEFAULT_DARK_AFTER_MICROS = 3_000_000;

    /** Default settings: any store may be a founder, and runners are never forgotten. */
    public static CoreSettings of(int founderCount) {
        return new CoreSettings(founderCount, false, true, DEFAULT_DARK_AFTER_MICROS, 0);
    }
}
