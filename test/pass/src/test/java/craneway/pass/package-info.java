/**
 * Tests of the HTTP proxy path ("pass") of a router over real sockets, with scripted clients and runners.
 *
 * <p>{@link craneway.pass.ProxyRig} runs the proxy. {@link craneway.pass.FakeRunner} scripts a runner's responses
 * to whole requests, {@link craneway.pass.ScriptedRunner} its connections byte by byte. A route is once-only (a request
 * may reach at most one run), repeatable, or a stream, which may be resumable. Each attempt carries an id in the header
 * {@code Try}, and a runner's own response names that id and carries a {@code Stamp}. The statuses 408, 421, 429 and
 * 503 promise that the request has not run; {@code Not-Run} is the header with which a runner promises it.
 */
package craneway.pass;
