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

/** Receives the message batches that {@link HttpTransport} of another process sends. */
public final class PeerHandler implements HttpHandler {
    private final LongSupplier coreId;
    private final Predicate<Hello> sameOrigin;
    private final Consumer<Object> receiver;
    private final EventLog log;

    /**
     * Creates a handler.
     *
     * @param coreId the id of the core that this process belongs to, 0 while it belongs to none
     * @param sameOrigin whether a hello of another core comes from a generation of the same origin and is to be
     *     received
     * @param receiver receives each message; called by several threads
     */
    public PeerHandler(LongSupplier coreId, Predicate<Hello> sameOrigin, Consumer<Object> receiver, EventLog log) {
        this.coreId = coreId;
        this.sameOrigin = sameOrigin;
        this.receiver = receiver;
        this.log = log;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        var wireVersion = exchange.getRequestHeaders().getFirst(HeaderNames.WIRE);
        if (!HeaderNames.WIRE_VERSION.equals(wireVersion) && !HeaderNames.NEXT_WIRE_VERSION.equals(wireVersion)) {
            reject(exchange, "wire version " + wireVersion + " from " + exchange.getSourceAddress());
            return;
        }
        var foreignCore = describeForeignCore(exchange);
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (e, body) -> e.dispatch(() -> {
                            if (foreignCore == null) receiveBatch(e, body);
                            else receiveHellos(e, body, foreignCore);
                        }),
                        (e, failure) -> e.setStatusCode(400).endExchange());
    }

    private void reject(HttpServerExchange exchange, String cause) {
        log.logEvent(Event.BAD_MESSAGE, cause);
        exchange.setStatusCode(403).endExchange();
    }

    /** Receives the hellos of a batch from another core that come from the same origin; rejects a batch without any. */
    private void receiveHellos(HttpServerExchange exchange, byte[] body, String foreignCore) {
        var received = false;
        try {
            for (var message : Codec.decode(MessageBatch.class, body).messages) {
                if (!(Codec.decodeTagged(message) instanceof Hello hello)
                        || hello.from == null
                        || !sameOrigin.test(hello)) continue;
                receiver.accept(hello);
                received = true;
            }
        } catch (BadMessageException e) {
            received = false;
        }
        if (received) exchange.setStatusCode(204).endExchange();
        else reject(exchange, foreignCore);
    }

    /** Returns a description of the sender if it belongs to another core, otherwise null. */
    private String describeForeignCore(HttpServerExchange exchange) {
        var senderCore = exchange.getRequestHeaders().getFirst(HeaderNames.CORE);
        var ownCore = Long.toHexString(coreId.getAsLong());
        if (senderCore == null || !senderCore.equals("0") && !ownCore.equals("0") && !senderCore.equals(ownCore))
            return "core " + senderCore + " from " + exchange.getSourceAddress();
        return null;
    }

    private void receiveBatch(HttpServerExchange exchange, byte[] body) {
        try {
            if (!HeaderNames.checksum(body).equals(exchange.getRequestHeaders().getFirst(HeaderNames.CHECKSUM)))
                throw new BadMessageException("checksum mismatch");
            for (var message : Codec.decode(MessageBatch.class, body).messages)
                receiver.accept(Codec.decodeTagged(message));
            exchange.setStatusCode(204);
        } catch (BadMessageException e) {
            log.logEvent(Event.BAD_MESSAGE, e.getMessage() + " from " + exchange.getSourceAddress());
            exchange.setStatusCode(400);
        } catch (RuntimeException e) {
            log.logInternalError(e);
            exchange.setStatusCode(500);
        }
        exchange.endExchange();
    }
}
