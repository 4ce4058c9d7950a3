/**
 * Records histories of the operator interface and checks them for linearizability. Operators behave as the platform's
 * documentation prescribes, the stores consist of the production classes on one simulated clock, and faults are drawn
 * from a seed. A history passes if some order of all calls could have been produced by a single store without faults.
 */
package craneway.sim.history;
