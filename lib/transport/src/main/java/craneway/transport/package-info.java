/**
 * Transports that carry messages between the processes of one core.
 * {@link craneway.transport.SocketTransport} uses UDP datagrams and TCP connections,
 * {@link craneway.transport.HttpTransport} uses HTTP.
 *
 * <p>A message may be lost, duplicated or reordered, but never damaged: a checksum guards it. Messages of another core
 * are rejected, except {@link craneway.state.message.Messages.Hello} messages between generations of a core that have
 * the same origin.
 */
package craneway.transport;
