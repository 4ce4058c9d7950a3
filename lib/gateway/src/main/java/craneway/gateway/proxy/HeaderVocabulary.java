package craneway.gateway.proxy;

import io.undertow.util.HttpString;

/**
 * The names that a platform uses for headers and paths between clients, routers and runners.
 *
 * @param tryId the id of the client's request, which the runner's response must repeat
 * @param stamp a header that every successful response of a runner carries
 * @param deadlineMs how many milliseconds are left until the deadline
 * @param parts the parts of the prompt, as ids and token counts
 * @param tokens the number of prompt tokens and of output tokens
 * @param model the model
 * @param addressee the id of the runner that a request is sent to
 * @param runner the runner
 * @param load a runner's load in its response: running requests, then waiting ones
 * @param notRun a header by which a runner states that it has not run the request and will not run it
 * @param coldMs how many milliseconds a runner stays cold
 * @param urgency the urgency of the request's route
 * @param lastEventId the id of the event after which a stream must continue
 * @param weightVersions the version of the weights that produced a response
 * @param expectVersion the weight version that a runner must have to continue a stream
 * @param readyPath the path of the readiness check
 * @param reportPath the path of the report
 */
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
