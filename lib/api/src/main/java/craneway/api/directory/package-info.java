/** The directory in which clients look up the routers nearest to them. */
package craneway.api.directory;
