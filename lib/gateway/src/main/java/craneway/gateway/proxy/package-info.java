/**
 * The HTTP proxy of a router on the users' platform. Each request on a route is forwarded to one runner, and the
 * response is streamed back unchanged. One I/O thread carries all requests, so nothing here may block. A request is
 * sent at most once unless its route allows more.
 */
package craneway.gateway.proxy;
