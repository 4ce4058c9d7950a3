package craneway.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.channels.StreamSinkChannel;

/** Writes request bodies to non-blocking channels. */
final class BodyWriter {
    private BodyWriter() {}

    /**
     * Writes the whole body, flushes the channel and shuts down its output. Continues in a write listener when the
     * channel accepts no more bytes.
     */
    static void writeFully(StreamSinkChannel channel, ByteBuffer body, Consumer<IOException> onFailure) {
        try {
            while (body.hasRemaining()) {
                if (channel.write(body) > 0) continue;
                ChannelListener<StreamSinkChannel> resume = c -> {
                    c.suspendWrites();
                    writeFully(c, body, onFailure);
                };
                channel.getWriteSetter().set(resume);
                channel.resumeWrites();
                return;
            }
            channel.shutdownWrites();
            if (channel.flush()) return;
            channel.getWriteSetter().set(ChannelListeners.flushingChannelListener(null, (c, e) -> onFailure.accept(e)));
            channel.resumeWrites();
        } catch (IOException e) {
            onFailure.accept(e);
        }
    }
}
