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

/** One request on one connection to a runner, without blocking; every call and callback is on the one I/O thread. */
final class RunnerCall {
    /** Takes the answer of the runner. */
    interface Sink {
        /** No byte of the request left this process. */
        void refused(String cause);

        void head(int status, HeaderMap headers);

        void chunk(ByteBuffer b);

        void end();

        /** The request may have run. */
        void broken(String cause);

        /** The answer can't be passed on further: some of its bytes are lost in this process. */
        void failed(RuntimeException fault);
    }

    private final RunnerConnections connections;
    private final String address;
    private final ByteBuffer[] request;
    private final Sink sink;
    private final ResponseReader reader;
    private StreamConnection connection;
    private XnioExecutor.Key timer;
    private boolean over;
    private boolean begun;
    private boolean fresh;
    private boolean paused;
    private long connectMicros;
    private long keptFor = RunnerConnections.UNSTATED;

    RunnerCall(RunnerConnections connections, String address, RequestHead head, byte[] body, Sink sink) {
        this.connections = connections;
        this.address = address;
        this.request = new ByteBuffer[] {ByteBuffer.wrap(head.bytes()), ByteBuffer.wrap(body)};
        this.sink = sink;
        this.reader = new ResponseReader(head.bodilessAnswer(), new ResponseReader.Sink() {
            @Override
            public void head(int status, HeaderMap headers) {
                keptFor = ForwardedHeaders.keptFor(headers);
                sink.head(status, headers);
            }

            @Override
            public void data(ByteBuffer b) {
                if (!over) sink.chunk(b);
            }
        });
    }

    /** Whether no other request was ever sent on its connection. */
    boolean fresh() {
        return fresh;
    }

    /** Whether the answer had no length, so that only the end of the connection ended it. */
    boolean endedByClose() {
        return reader.endedByClose();
    }

    /** Sends it on a kept connection or a fresh one; what may not be repeated only on one that is known to be alive. */
    void start(boolean repeatable, long connect) {
        connectMicros = connect;
        var kept = connections.take(address, repeatable);
        if (kept != null) send(kept);
        else connect();
    }

    private void connect() {
        fresh = true;
        timer = io().executeAfter(
                        () -> fail("connect to " + address + ": timed out"), connectMicros, TimeUnit.MICROSECONDS);
        connections.open(address, this::opened);
    }

    private XnioIoThread io() {
        return connections.io();
    }

    private void opened(StreamConnection c, String cause) {
        if (timer != null) timer.remove();
        if (over) {
            if (c != null) connections.spare(address, c);
        } else if (c == null) {
            fail("connect to " + address + ": " + cause);
        } else {
            send(c);
        }
    }

    private void send(StreamConnection c) {
        connection = c;
        c.getSourceChannel().setReadListener(this::readable);
        c.getSourceChannel().resumeReads();
        write(c.getSinkChannel());
    }

    private void write(ConduitStreamSinkChannel channel) {
        if (over) return;
        try {
            while (!written()) {
                if (channel.write(request, 0, request.length) > 0) {
                    begun = true;
                    continue;
                }
                channel.setWriteListener(this::write);
                channel.resumeWrites();
                return;
            }
            channel.suspendWrites();
        } catch (IOException e) {
            unwritten(e);
        }
    }

    private boolean written() {
        return !request[0].hasRemaining() && !request[1].hasRemaining();
    }

    /** A kept connection that took no byte of it was dead already: a fresh one takes it. */
    private void unwritten(IOException e) {
        if (fresh || begun) {
            fail(e.toString());
            return;
        }
        IoUtils.safeClose(connection);
        connection = null;
        connect();
    }

    private void readable(ConduitStreamSourceChannel channel) {
        if (over || paused || channel != connection.getSourceChannel()) return;
        try (var pooled = connections.buffers().allocate()) {
            var b = pooled.getBuffer();
            while (!over && !paused) {
                b.clear();
                var n = channel.read(b);
                if (n == 0) return;
                b.flip();
                if (n < 0) reader.closed();
                else reader.take(b);
                if (reader.done()) finish(n > 0 && !b.hasRemaining());
            }
        } catch (IOException e) {
            fail(e.toString());
        } catch (RuntimeException e) {
            failed(e);
        }
    }

    /** What was in hand when it was thrown is lost; the answer must not go on behind it. */
    private void failed(RuntimeException e) {
        cancel();
        sink.failed(e);
    }

    void pause() {
        if (paused || connection == null) return;
        paused = true;
        connection.getSourceChannel().suspendReads();
    }

    void resume() {
        if (!paused) return;
        paused = false;
        if (over) return;
        io().execute(() -> {
            if (over || paused) return;
            readable(connection.getSourceChannel());
            if (!over && !paused) connection.getSourceChannel().resumeReads();
        });
    }

    /** The answer is whole; bytes behind it belong to no request and end the connection. */
    private void finish(boolean clean) {
        if (over) return;
        over = true;
        if (clean && reader.keeps() && written()) connections.give(address, connection, keptFor);
        else IoUtils.safeClose(connection);
        sink.end();
    }

    private void fail(String cause) {
        if (over) return;
        over = true;
        if (timer != null) timer.remove();
        IoUtils.safeClose(connection);
        if (begun) sink.broken(cause);
        else sink.refused(cause);
    }

    /** Ends it without a callback; the connection is closed. */
    void cancel() {
        over = true;
        IoUtils.safeClose(connection);
    }
}
