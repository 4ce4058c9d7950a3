/** Checks the promises of the system by the journals that requesters and runners wrote. */
package craneway.drill;
