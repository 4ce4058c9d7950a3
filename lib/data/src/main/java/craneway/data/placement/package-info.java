/**
 * Selects the runner that is expected to prefill a prompt soonest, on a platform that the users bring themselves:
 * by the estimated prefix caches and prefill backlogs of the runners and by their load. Also limits the requests
 * sent to cold runners and the number of retries. The classes do no I/O.
 */
package craneway.data.placement;
