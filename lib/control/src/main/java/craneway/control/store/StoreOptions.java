package craneway.control.store;

import craneway.model.unit.TimingProfile;
import java.util.concurrent.Executor;
import java.util.function.IntFunction;

/**
 * What a store goes by: how many empty stores found a core, who votes, the pace, and where each part works. A part whose executor
 * has a thread of its own holds up nobody else while its disk hangs.
 */
public record StoreOptions(CoreSettings settings, Quorum quorum, TimingProfile timing, IntFunction<Executor> executorByPart) {
    public StoreOptions(int expected, Quorum quorum, TimingProfile timing, IntFunction<Executor> executorByPart) {
        this(CoreSettings.of(expected), quorum, timing, executorByPart);
    }

    public static StoreOptions of(int expected) {
        return new StoreOptions(
                expected,
                expected > 3 ? new Quorum(expected, Quorum.THREE_VOTERS.regionByZone()) : Quorum.THREE_VOTERS,
                TimingProfile.STANDARD,
                p -> Runnable::run);
    }
}
