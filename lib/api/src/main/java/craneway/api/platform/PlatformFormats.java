package craneway.api.platform;

import craneway.data.runner.Announcement;
import craneway.model.problem.Problem;
import io.vavr.control.Either;
import java.util.List;

/** The paths and body formats that a platform's operators, runners and clients use in requests to a store. */
public interface PlatformFormats {
    /**
     * The paths and query parameters of a store's HTTP interface.
     *
     * @param configuration the path of the configuration
     * @param runnerPrefix the prefix of the path of a runner, which the runner's name follows
     * @param zonePrefix the prefix of the path of a zone, which the zone's name follows
     * @param routerAddresses the path under which clients look up router addresses
     * @param zoneParameter the query parameter with the zone of the client
     * @param regionParameter the query parameter with the region of the client
     */
    record Paths(
            String configuration,
            String runnerPrefix,
            String zonePrefix,
            String routerAddresses,
            String zoneParameter,
            String regionParameter) {}

    /**
     * A configuration in the platform's format.
     *
     * @param version the number that the platform gave it
     * @param manifest the JSON text of the equivalent manifest
     * @param source the text as it was sent
     */
    record Configuration(long version, String manifest, String source) {}

    /**
     * A runner's heartbeat, with which it also announces itself. Times are microseconds.
     *
     * @param announcement the announcement of the runner
     * @param leaving whether the runner is about to shut down
     * @param remainingColdTime how long the runner will stay cold; 0 if the heartbeat does not say
     * @param remainingLifetime the time until the runner shuts down; 0 if the heartbeat does not say
     * @param sequence increases with each heartbeat of the runner
     */
    record RunnerHeartbeat(
            Announcement announcement,
            boolean leaving,
            long remainingColdTime,
            long remainingLifetime,
            long sequence) {}

    /** Returns the paths of the HTTP interface. */
    Paths paths();

    /** Reads a configuration; a BAD_MANIFEST problem says what is invalid. */
    Either<Problem, Configuration> readConfiguration(byte[] body);

    /** Reads a runner's heartbeat; a BAD_JSON or BAD_FIELD problem says what is invalid. */
    Either<Problem, RunnerHeartbeat> readHeartbeat(String runner, byte[] body);

    /** Returns the body of the response to an accepted heartbeat. */
    String heartbeatResponse();

    /**
     * Returns the body of the response that lists router addresses for a client.
     *
     * @param routers the client addresses of the routers
     * @param ttlMicros how long the client may cache the list, in microseconds
     */
    String addressesResponse(List<String> routers, long ttlMicros);
}
