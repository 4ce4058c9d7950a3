/**
 * The store process: the bootstrap of a core, and a replica of each part with the leases, topic updates, runners and
 * members that its leader manages beside the replicated log.
 *
 * <p>Each part works on an executor of its own under a lock of its own, so that a disk that hangs in one part does not
 * stop the others.
 */
package craneway.control.store;
