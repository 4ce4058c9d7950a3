/** Generates load against routers and writes a journal of the replies that clients got. */
package craneway.command.load;
