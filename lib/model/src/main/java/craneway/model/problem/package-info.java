/**
 * The closed list of problems that a caller can receive, and what each says about the requested work.
 *
 * <p>Codes and names are part of the interface and never change their meaning; see {@code docs/problems.md}.
 */
package craneway.model.problem;
