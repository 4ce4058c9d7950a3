/**
 * A deterministic simulator of a whole fleet: production stores and routers, simulated runners and clients, and
 * simulated disks and networks on one clock. Scenarios and random faults are drawn from a seed, and a journal of each
 * run is checked against the documented promises.
 */
package craneway.sim;
