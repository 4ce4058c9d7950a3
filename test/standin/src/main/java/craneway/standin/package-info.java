/**
 * A stand-in for a model server, a fleet of real processes with fault injection, and a checker of the journals. For
 * trials and tests only.
 */
package craneway.standin;
