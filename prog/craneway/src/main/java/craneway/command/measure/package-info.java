/** Measures times and shares in simulated time over many seeds. */
package craneway.command.measure;
