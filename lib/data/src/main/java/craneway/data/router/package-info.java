/**
 * The router without its sockets: dispatches messages of the core to its components, accepts announcements of
 * runners, and executes requests.
 */
package craneway.data.router;
