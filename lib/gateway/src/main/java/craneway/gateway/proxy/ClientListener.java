package craneway.gateway.proxy;

import io.undertow.UndertowOptions;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * Accepts client connections. Undertow's own timeouts for request heads and idle connections are off, since they use
 * the time of day, which may jump, and cannot change with the configuration; {@link ClientConnections} applies these
 * limits.
 */
final class ClientListener implements Closeable {
    /** Size of an I/O buffer: 16 KiB less the space that Undertow leaves for protocol headers. */
    private static final int BUFFER_BYTES = 16 * 1024 - 20;

    private static final int CACHED_BUFFERS_PER_THREAD = 4;
    private static final int MAX_HEAD_BYTES = 64 * 1024;
    private static final int UNLIMITED = -1;

    private static final OptionMap HTTP_OPTIONS = OptionMap.builder()
            .set(UndertowOptions.BUFFER_PIPELINED_DATA, true)
            .set(UndertowOptions.MAX_HEADER_SIZE, MAX_HEAD_BYTES)
            .set(UndertowOptions.NO_REQUEST_TIMEOUT, UNLIMITED)
            .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, UNLIMITED)
            .set(UndertowOptions.DECODE_URL, false)
            .set(UndertowOptions.ALLOW_UNESCAPED_CHARACTERS_IN_URL, true)
            .set(UndertowOptions.ALWAYS_SET_DATE, false)
            .getMap();

    private static final OptionMap SOCKET_OPTIONS = OptionMap.builder()
            .set(Options.WORKER_IO_THREADS, 1)
            .set(Options.TCP_NODELAY, true)
            .set(Options.REUSE_ADDRESSES, true)
            .set(Options.BALANCING_TOKENS, 1)
            .set(Options.BALANCING_CONNECTIONS, 2)
            .set(Options.BACKLOG, 1024)
            .getMap();

    private final AcceptingChannel<StreamConnection> acceptor;

    /** Starts to listen at the address; the connections are tracked and their requests passed to the handler. */
    ClientListener(XnioWorker worker, InetSocketAddress address, ClientConnections connections, HttpHandler handler) {
        var httpListener = new HttpOpenListener(
                new DefaultByteBufferPool(true, BUFFER_BYTES, UNLIMITED, CACHED_BUFFERS_PER_THREAD), HTTP_OPTIONS);
        httpListener.setRootHandler(handler);
        ChannelListener<StreamConnection> onAccept = c -> {
            connections.track(c);
            httpListener.handleEvent(c);
        };
        try {
            acceptor = worker.createStreamConnectionServer(
                    address, ChannelListeners.openListenerAdapter(onAccept), SOCKET_OPTIONS);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        acceptor.resumeAccepts();
    }

    /** Stops accepting connections; open ones continue. */
    @Override
    public void close() {
        IoUtils.safeClose(acceptor);
    }
}
