/** Model checking of the consensus group on the production classes: every short history, and long random ones. */
package craneway.sim.model;
