package craneway.transport;

import craneway.http.HeaderNames;
import craneway.log.EventLog;
import craneway.model.event.Event;
import craneway.state.message.BadMessageException;
import craneway.state.message.Codec;
import craneway.state.message.Messages.Hello;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;

public final class PeerHandler implements HttpHandler {
    private final LongSupplier core;
    private final Predicate<Hello> kin;
    private final Consumer<Object> receive;
    private final EventLog log;

    public PeerHandler(LongSupplier core, Predicate<Hello> kin, Consumer<Object> receive, EventLog log) {
        this.core = core;
        this.kin = kin;
        this.receive = receive;
        this.log = log;
    }

    @Override
    public void handleRequest(HttpServerExchange x) {
        var wire = x.getRequestHeaders().getFirst(HeaderNames.WIRE);
        if (!HeaderNames.WIRE_VERSION.equals(wire) && !HeaderNames.NEXT_WIRE_VERSION.equals(wire)) {
            decline(x, "wire version " + wire + " from " + x.getSourceAddress());
            return;
        }
        var foreign = foreign(x);
        x.getRequestReceiver()
                .receiveFullBytes(
                        (e, b) -> e.dispatch(() -> {
                            if (foreign == null) take(e, b);
                            else greet(e, b, foreign);
                        }),
                        (e, p) -> e.setStatusCode(400).endExchange());
    }

    private void decline(HttpServerExchange x, String cause) {
        log.logEvent(Event.BAD_MESSAGE, cause);
        x.setStatusCode(403).endExchange();
    }

    private void greet(HttpServerExchange e, byte[] b, String foreign) {
        var greeted = false;
        try {
            for (var m : Codec.decode(MessageBatch.class, b).messages) {
                if (!(Codec.decodeTagged(m) instanceof Hello h) || h.from == null || !kin.test(h)) continue;
                receive.accept(h);
                greeted = true;
            }
        } catch (BadMessageException x) {
            greeted = false;
        }
        if (greeted) e.setStatusCode(204).endExchange();
        else decline(e, foreign);
    }

    private String foreign(HttpServerExchange x) {
        var theirs = x.getRequestHeaders().getFirst(HeaderNames.CORE);
        var mine = Long.toHexString(core.getAsLong());
        if (theirs == null || !theirs.equals("0") && !mine.equals("0") && !theirs.equals(mine))
            return "core " + theirs + " from " + x.getSourceAddress();
        return null;
    }

    private void take(HttpServerExchange e, byte[] b) {
        try {
            if (!HeaderNames.checksum(b).equals(e.getRequestHeaders().getFirst(HeaderNames.CHECKSUM)))
                throw new BadMessageException("checksum differs");
            for (var m : Codec.decode(MessageBatch.class, b).messages) receive.accept(Codec.decodeTagged(m));
            e.setStatusCode(204);
        } catch (BadMessageException x) {
            log.logEvent(Event.BAD_MESSAGE, x.getMessage() + " from " + e.getSourceAddress());
            e.setStatusCode(400);
        } catch (RuntimeException x) {
            log.logInternalError(x);
            e.setStatusCode(500);
        }
        e.endExchange();
    }
}
