package craneway.gateway.proxy;

import io.undertow.util.HeaderMap;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Sends one request over one connection to a runner and reads the response, without blocking. Every call and callback
 * is on the one I/O thread.
 */
final class RunnerCall {
    /**
     * Receives the runner's response. A call ends with {@link #onNotSent}, {@link #onEnd} or {@link #onBroken}, or
     * without any of them if it is canceled. {@link #onInternalFault} may end it too, or follow a callback that threw.
     */
    interface Listener {
        /** The call failed before any byte of the request left this process. */
        void onNotSent(String cause);

        /** The head of the final response is complete. */
        void onHead(int status, HeaderMap headers);

        /** Bytes of the body have arrived; they are valid during the call only. */
        void onData(ByteBuffer data);

        /** The response is complete. */
        void onEnd();

        /** The call failed after at least one byte was sent, so the request may have run. */
        void onBroken(String cause);

        /** A bug in this process lost some bytes of the response, so no more of it may be relayed. */
        void onInternalFault(RuntimeException fault);
    }

    private final RunnerConnectionPool connections;
    private final String address;
    private final ByteBuffer[] requestBuffers;
    private final Listener listener;
    private final ResponseReader reader;
    private StreamConnection connection;
    private XnioExecutor.Key connectTimer;
    private boolean finished;
    private boolean anyByteSent;
    private boolean freshConnection;
    private boolean paused;
    private long connectTimeoutMicros;
    private long keepAliveMicros = RunnerConnectionPool.NOT_STATED;

    RunnerCall(RunnerConnectionPool connections, String address, RequestHead head, byte[] body, Listener listener) {
        this.connections = connections;
        this.address = address;
        this.requestBuffers = new ByteBuffer[] {ByteBuffer.wrap(head.toBytes()), ByteBuffer.wrap(body)};
        this.listener = listener;
        this.reader = new ResponseReader(head.hasBodilessResponse(), new ResponseReader.Listener() {
            @Override
            public void onHead(int status, HeaderMap headers) {
                keepAliveMicros = ForwardedHeaders.keepAliveMicros(headers);
                listener.onHead(status, headers);
            }

            @Override
            public void onBody(ByteBuffer data) {
                if (!finished) listener.onData(data);
            }
        });
    }

    /** Whether no other request was ever sent on this call's connection. */
    boolean isFreshConnection() {
        return freshConnection;
    }

    /** Whether the response had no stated length, so that only the end of the connection ended it. */
    boolean endedByClose() {
        return reader.endedByClose();
    }

    /**
     * Sends the request on an idle or a fresh connection. A request that must not be repeated goes only on a connection
     * that is known to be alive.
     */
    void start(boolean repeatable, long timeoutMicros) {
        connectTimeoutMicros = timeoutMicros;
        var idle = connections.takeIdle(address, repeatable);
        if (idle != null) sendOn(idle);
        else connect();
    }

    private void connect() {
        freshConnection = true;
        connectTimer = ioThread()
                .executeAfter(
                        () -> fail("connect to " + address + ": timed out"),
                        connectTimeoutMicros,
                        TimeUnit.MICROSECONDS);
        connections.connect(address, this::handleConnectResult);
    }

    private XnioIoThread ioThread() {
        return connections.ioThread();
    }

    private void handleConnectResult(StreamConnection opened, String cause) {
        if (connectTimer != null) connectTimer.remove();
        if (finished) {
            if (opened != null) connections.addUnused(address, opened);
        } else if (opened == null) {
            fail("connect to " + address + ": " + cause);
        } else {
            sendOn(opened);
        }
    }

    private void sendOn(StreamConnection selected) {
        connection = selected;
        selected.getSourceChannel().setReadListener(this::readResponse);
        selected.getSourceChannel().resumeReads();
        writeRequest(selected.getSinkChannel());
    }

    private void writeRequest(ConduitStreamSinkChannel channel) {
        if (finished) return;
        try {
            while (!isFullyWritten()) {
                if (channel.write(requestBuffers, 0, requestBuffers.length) > 0) {
                    anyByteSent = true;
                    continue;
                }
                channel.setWriteListener(this::writeRequest);
                channel.resumeWrites();
                return;
            }
            channel.suspendWrites();
        } catch (IOException e) {
            handleWriteFailure(e);
        }
    }

    private boolean isFullyWritten() {
        return !requestBuffers[0].hasRemaining() && !requestBuffers[1].hasRemaining();
    }

    /** An idle connection that accepted no byte of the request was dead before: the request goes on a fresh one. */
    private void handleWriteFailure(IOException e) {
        if (freshConnection || anyByteSent) {
            fail(e.toString());
            return;
        }
        IoUtils.safeClose(connection);
        connection = null;
        connect();
    }

    private void readResponse(ConduitStreamSourceChannel channel) {
        if (finished || paused || channel != connection.getSourceChannel()) return;
        try (var pooled = connections.buffers().allocate()) {
            var buffer = pooled.getBuffer();
            while (!finished && !paused) {
                buffer.clear();
                var byteCount = channel.read(buffer);
                if (byteCount == 0) return;
                buffer.flip();
                if (byteCount < 0) reader.handleClose();
                else reader.consume(buffer);
                if (reader.isDone()) finish(byteCount > 0 && !buffer.hasRemaining());
            }
        } catch (IOException e) {
            fail(e.toString());
        } catch (RuntimeException e) {
            abortOnFault(e);
        }
    }

    /**
     * The bytes that were being processed when the exception was thrown are lost, so the response must not continue.
     */
    private void abortOnFault(RuntimeException fault) {
        cancel();
        listener.onInternalFault(fault);
    }

    /** Stops reading the response until {@link #resume()}, so that the runner is slowed down by backpressure. */
    void pause() {
        if (paused || connection == null) return;
        paused = true;
        connection.getSourceChannel().suspendReads();
    }

    /** Continues to read after {@link #pause()}; reads in a later task of the I/O thread. */
    void resume() {
        if (!paused) return;
        paused = false;
        if (finished) return;
        ioThread().execute(() -> {
            if (finished || paused) return;
            readResponse(connection.getSourceChannel());
            if (!finished && !paused) connection.getSourceChannel().resumeReads();
        });
    }

    /**
     * Ends the call after a complete response.
     *
     * @param noExtraBytes whether nothing followed the response; extra bytes belong to no request, so the connection is
     *     closed and not reused then
     */
    private void finish(boolean noExtraBytes) {
        if (finished) return;
        finished = true;
        if (noExtraBytes && reader.allowsReuse() && isFullyWritten())
            connections.addIdle(address, connection, keepAliveMicros);
        else IoUtils.safeClose(connection);
        listener.onEnd();
    }

    private void fail(String cause) {
        if (finished) return;
        finished = true;
        if (connectTimer != null) connectTimer.remove();
        IoUtils.safeClose(connection);
        if (anyByteSent) listener.onBroken(cause);
        else listener.onNotSent(cause);
    }

    /** Ends the call without a callback and closes the connection. */
    void cancel() {
        finished = true;
        IoUtils.safeClose(connection);
    }
}
