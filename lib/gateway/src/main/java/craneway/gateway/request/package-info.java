/**
 * The product's own HTTP request path: parses a request, passes it to {@link craneway.data.request} and writes the
 * response as an event stream.
 */
package craneway.gateway.request;
