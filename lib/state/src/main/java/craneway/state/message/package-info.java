/**
 * The messages between processes, the commands in the log, and their encoding.
 *
 * <p>The order of the fields is the wire format; their names are not written. New fields are added at the end of a
 * class and new tags at the end of the list only, so that older processes can skip what they do not know.
 */
package craneway.state.message;
