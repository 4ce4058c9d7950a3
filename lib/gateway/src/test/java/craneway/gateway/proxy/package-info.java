/** Tests of the parts of the proxy path that decide without I/O. */
package craneway.gateway.proxy;
