package craneway.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.channels.StreamSinkChannel;

final class BodyWriter {
    private BodyWriter() {}

    static void all(StreamSinkChannel ch, ByteBuffer body, Consumer<IOException> problem) {
        try {
            while (body.hasRemaining()) {
                if (ch.write(body) > 0) continue;
                ChannelListener<StreamSinkChannel> more = c -> {
                    c.suspendWrites();
                    all(c, body, problem);
                };
                ch.getWriteSetter().set(more);
                ch.resumeWrites();
                return;
            }
            ch.shutdownWrites();
            if (ch.flush()) return;
            ch.getWriteSetter().set(ChannelListeners.flushingChannelListener(null, (c, e) -> problem.accept(e)));
            ch.resumeWrites();
        } catch (IOException e) {
            problem.accept(e);
        }
    }
}
