/** Runs seeds of the simulator, one at a time with a timeline or many in a sweep. */
package craneway.command.replay;
