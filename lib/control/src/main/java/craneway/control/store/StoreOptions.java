package craneway.control.store;

import craneway.model.unit.TimingProfile;
import java.util.concurrent.Executor;
import java.util.function.IntFunction;

/**
 * The options of a store process.
 *
 * @param settings how the core is bootstrapped and how long runners are remembered
 * @param quorum how many stores vote and how they are spread
 * @param timing the intervals of heartbeats, elections, renewals and the like
 * @param executorByPart the executor on which each part works; with a thread of its own, a part whose disk hangs delays
 *     no other
 */
public record StoreOptions(
        CoreSettings settings, Quorum quorum, TimingProfile timing, IntFunction<Executor> executorByPart) {
    /** Options with the default settings for this number of founders. */
    public StoreOptions(int founderCount, Quorum quorum, TimingProfile timing, IntFunction<Executor> executorByPart) {
        this(CoreSettings.of(founderCount), quorum, timing, executorByPart);
    }

    /**
     * Standard options: all parts run on the calling thread, and three stores vote, or all founders if there are
     * more.
     */
    public static StoreOptions of(int founderCount) {
        return new StoreOptions(
                founderCount,
                founderCount > 3 ? new Quorum(founderCount, Quorum.THREE_VOTERS.regionByZone()) : Quorum.THREE_VOTERS,
                TimingProfile.STANDARD,
                part -> Runnable::run);
    }
}
