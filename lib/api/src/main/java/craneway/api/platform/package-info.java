/**
 * The interface to the platform that starts the processes: readiness probes, and the formats in which the platform
 * exchanges configurations, runner heartbeats and router addresses.
 */
package craneway.api.platform;
