/** The HTTP endpoint where runners announce themselves to a router and state that they leave. */
package craneway.gateway.runner;
