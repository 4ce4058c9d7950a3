/** Writes the startup files and scripts of a fleet whose processes run on one machine. */
package craneway.command.fleet;
