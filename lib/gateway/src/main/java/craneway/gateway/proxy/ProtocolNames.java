package craneway.gateway.proxy;

import io.undertow.util.HttpString;

/** The names that a platform uses for headers and paths between clients, routers and runners. */
public record ProtocolNames(
        // The id of the client's request, which the runner's response must repeat.
        HttpString tryId,
        // A header that every successful response of a runner carries.
        HttpString successMarker,
        // How many milliseconds are left until the deadline.
        HttpString deadlineMs,
        // The parts of the prompt, as ids and token counts.
        HttpString promptParts,
        // The number of prompt tokens and of output tokens.
        HttpString tokenCounts,
        // The model that the request is for.
        HttpString model,
        // The id of the runner that a request is sent to.
        HttpString addressee,
        // The id of the runner.
        HttpString runner,
        // A runner's load in its response: running requests, then waiting ones.
        HttpString runnerLoad,
        // A header by which a runner states that it has not run the request and will not run it.
        HttpString notRun,
        // How many milliseconds a runner stays cold.
        HttpString coldMs,
        // The urgency of the request's route.
        HttpString urgency,
        // The id of the event after which a stream must continue.
        HttpString lastEventId,
        // The version of the weights that produced a response.
        HttpString weightVersions,
        // The weight version that a runner must have to continue a stream.
        HttpString expectedWeightVersion,
        // The path of the readiness check.
        String readyPath,
        // The path of the report.
        String reportPath) {}
