/**
 * The command line {@code craneway} and what its commands share: exit codes and HTTP requests to operator addresses.
 */
package craneway.command;
