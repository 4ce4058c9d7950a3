package craneway.gateway.proxy;

import io.undertow.util.HttpString;

/** The names that a platform gives to what requesters, routers and runners tell one another in headers. */
public record HeaderVocabulary(
        HttpString tryId,
        HttpString stamp,
        HttpString deadlineMs,
        HttpString parts,
        HttpString tokens,
        HttpString model,
        HttpString addressee,
        HttpString runner,
        HttpString load,
        HttpString notRun,
        HttpString coldMs,
        HttpString urgency,
        HttpString lastEventId,
        HttpString weightVersions,
        HttpString expectVersion,
        String readyPath,
        String reportPath) {}
