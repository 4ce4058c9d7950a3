package craneway.link.partner;

import craneway.link.http.Names;
import craneway.link.process.EventLog;
import craneway.model.event.Event;
import craneway.state.message.BadMessage;
import craneway.state.message.Codec;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

public final class PartnerDesk implements HttpHandler {
    private final LongSupplier core;
    private final Consumer<Object> receive;
    private final EventLog log;

    public PartnerDesk(LongSupplier core, Consumer<Object> receive, EventLog log) {
        this.core = core;
        this.receive = receive;
        this.log = log;
    }

    @Override
    public void handleRequest(HttpServerExchange x) {
        var wrong = foreign(x);
        if (wrong != null) {
            log.note(Event.BAD_MESSAGE, wrong);
            x.setStatusCode(403).endExchange();
            return;
        }
        x.getRequestReceiver().receiveFullBytes((e, b) -> e.dispatch(() -> take(e, b)), (e, p) -> e.setStatusCode(400).endExchange());
    }

    private String foreign(HttpServerExchange x) {
        var wire = x.getRequestHeaders().getFirst(Names.WIRE);
        if (!Names.WIRE_VERSION.equals(wire)) return "wire version " + wire + " from " + x.getSourceAddress();
        var theirs = x.getRequestHeaders().getFirst(Names.CORE);
        var mine = Long.toHexString(core.getAsLong());
        if (theirs == null || !theirs.equals("0") && !mine.equals("0") && !theirs.equals(mine)) return "core " + theirs + " from " + x.getSourceAddress();
        return null;
    }

    private void take(HttpServerExchange e, byte[] b) {
        try {
            if (!Names.check(b).equals(e.getRequestHeaders().getFirst(Names.CHECK))) throw new BadMessage("checksum differs");
            for (var m : Codec.read(Batch.class, b).messages) receive.accept(Codec.readTagged(m));
            e.setStatusCode(204);
        } catch (BadMessage x) {
            log.note(Event.BAD_MESSAGE, x.getMessage() + " from " + e.getSourceAddress());
            e.setStatusCode(400);
        } catch (RuntimeException x) {
            log.internal(x);
            e.setStatusCode(500);
        }
        e.endExchange();
    }
}
