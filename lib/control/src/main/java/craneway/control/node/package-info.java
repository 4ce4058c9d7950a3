/**
 * What every process does to belong to the core: finding other nodes, keeping a lease at each part, following the
 * manifest and the tables, and sending requests to the leaders of the parts.
 *
 * <p>Times are microseconds of the process's own monotonic clock, read through
 * {@link craneway.control.node.Port}. Classes here are safe for several threads where their methods are synchronized
 * or their fields volatile.
 */
package craneway.control.node;
