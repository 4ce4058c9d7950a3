/** Tests of those parts of the proxy that involve no I/O. */
package craneway.gateway.proxy;
