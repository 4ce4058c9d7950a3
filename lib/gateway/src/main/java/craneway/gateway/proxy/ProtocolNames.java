package craneway.gateway.proxy;

import io.undertow.util.HttpString;

/** The names that a platform gives to what requesters, routers and runners tell one another in headers. */
public record ProtocolNames(
        HttpString tryId,
        HttpString successMarker,
        HttpString deadlineMs,
        HttpString promptParts,
        HttpString tokenCounts,
        HttpString model,
        HttpString addressee,
        HttpString runner,
        HttpString runnerLoad,
        HttpString notRun,
        HttpString coldMs,
        HttpString urgency,
        HttpString lastEventId,
        HttpString weightVersions,
        HttpString expectedWeightVersion,
        String readyPath,
        String reportPath) {}
