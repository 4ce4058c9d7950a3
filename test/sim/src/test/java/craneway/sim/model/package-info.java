/**
 * Model checking of the consensus group on the production classes: explores every short history, and plays long
 * random histories.
 */
package craneway.sim.model;
