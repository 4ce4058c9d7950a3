/** Writes events as lines to standard error, in one format for all programs. */
package craneway.log;
