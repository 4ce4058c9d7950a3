package craneway.control.store;

import craneway.model.unit.TimingProfile;
import java.util.concurrent.Executor;
import java.util.function.IntFunction;

/**
 * What a store goes by: how many empty stores found a core, who votes, the pace, and where each part works. A part whose executor
 * has a thread of its own holds up nobody else while its disk hangs.
 */
public record Rules(Settings settings, Quorum quorum, TimingProfile timing, IntFunction<Executor> executors) {
    public Rules(int founderCount, Quorum quorum, TimingProfile timing, IntFunction<Executor> executors) {
        this(Settings.of(founderCount), quorum, timing, executors);
    }

    public static Rules of(int founderCount) {
        return new Rules(
                founderCount,
                founderCount > 3 ? new Quorum(founderCount, Quorum.THREE.regions()) : Quorum.THREE,
                TimingProfile.STANDARD,
                part -> Runnable::run);
    }
}
