/**
 * Assembles a router process or a store process from the modules below: settings, threads, HTTP servers, the transport
 * between processes, the data directory, metrics and graceful shutdown.
 *
 * <p>{@link craneway.process.RouterProcess} and {@link craneway.process.StoreProcess} are the stand-alone processes,
 * which read a JSON startup file. {@link craneway.process.PlatformRouterProcess} and
 * {@link craneway.process.PlatformStoreProcess} run on a platform that starts and stops them.
 */
package craneway.process;
