/**
 * HTTP helpers on top of Undertow for all modules: a client with backpressure, blocking calls that collect the whole
 * response, header names, error responses as JSON, and address validation.
 *
 * <p>Handlers and client callbacks run on I/O threads and must not block.
 */
package craneway.http;
