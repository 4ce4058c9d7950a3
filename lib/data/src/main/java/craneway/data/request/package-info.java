/**
 * Executes requests with claims: each request is routed to its unit's home by the placement table, claimed in the core
 * if it may run only once, sent to a runner or forwarded to a router of the home region, and its response is streamed
 * back.
 *
 * <p>Work that may run only once is sent to a runner at most once. A problem whose work outcome is {@link
 * craneway.model.problem.WorkOutcome#DECLINED} promises that no copy of the request has run or will run.
 */
package craneway.data.request;
