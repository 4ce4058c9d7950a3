/**
 * Scenarios in Cucumber: the steps that run them against simulated fleets, stores and routers in the same process, and
 * fleets of real processes.
 */
package craneway.features;
