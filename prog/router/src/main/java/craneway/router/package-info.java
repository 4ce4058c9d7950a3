/** The program {@code router}, which accepts requests and streams the responses. */
package craneway.router;
