package craneway.api.platform;

import craneway.data.runner.Announcement;
import craneway.model.problem.Problem;
import io.vavr.control.Either;
import java.util.List;

/** How a platform writes what its operators, runners and requesters exchange with a store. */
public interface PlatformFormats {
    /** Paths; runner and zone are the beginnings of paths that end in a name. */
    record Paths(
            String configuration,
            String runnerPrefix,
            String zonePrefix,
            String routerAddresses,
            String zoneParameter,
            String regionParameter) {}

    /** A configuration: its number, the manifest it means and its text as sent. */
    record Configuration(long version, String manifest, String source) {}

    /** What a runner says of itself; times are microseconds, 0 where it does not tell. */
    record RunnerHeartbeat(Announcement announcement, boolean leaving, long remainingColdTime, long remainingLifetime, long sequence) {}

    Paths paths();

    /** Reads a configuration; a problem BAD_MANIFEST says what is wrong with it. */
    Either<Problem, Configuration> readConfiguration(byte[] body);

    /** Reads a runner's beat; a problem BAD_JSON or BAD_FIELD says what is wrong with it. */
    Either<Problem, RunnerHeartbeat> readHeartbeat(String runner, byte[] body);

    /** The reply to a beat that was taken. */
    String heartbeatResponse();

    /** The reply that tells a requester where to go; it may keep that for {@code micros}. */
    String addressesResponse(List<String> all, long micros);
}
