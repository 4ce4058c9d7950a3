package craneway.gateway.proxy;

import craneway.data.placement.RunnerPlacer;
import craneway.model.event.Event;
import craneway.model.manifest.Route;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.StatusCodes;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.Set;
import org.xnio.XnioExecutor;

/** One request from its last byte to the end of its answer: sent at most once unless its route allows more. */
final class RequestExchange {
    /** How long a router that has just started waits for its manifest and the runners it names. */
    static final long STARTING = 1_200_000;

    private static final long CONNECT = 400_000;
    private static final long AGAIN = 25_000;

    private final RequestContext all;
    private final IncomingRequest request;
    private final AnswerRelay answer;
    private final ClientPresence client;
    private final Route route;
    private final AnswerTiming timing = new AnswerTiming();
    private final Set<String> tried = new HashSet<>();
    private ExchangeState state = ExchangeState.PLACING;
    private RunnerPlacer.Placement choice;
    private RunnerCall call;
    private long sentAt;
    private String about = "";
    private final Attempts attempts = new Attempts();
    private XnioExecutor.Key timer;
    private XnioExecutor.Key wake;

    RequestExchange(
            RequestContext all, HttpServerExchange x, ClientPresence client, Route route, byte[] body, long begun) {
        this.all = all;
        request = new IncomingRequest(x, all.names(), route, body, begun);
        this.route = route;
        answer = new AnswerRelay(
                new ClientAnswer(x, this::abandoned), route, all.names().weightVersions());
        this.client = client;
    }

    void begin() {
        all.add(this);
        var now = all.now();
        all.budget().recordRequest(now);
        timer = all.after(request.deadline - now, this::late);
        place();
    }

    private void place() {
        if (state == ExchangeState.OVER) return;
        var now = all.now();
        all.refresh();
        if (attempts.sent() > 0 && !mayAgain(now)) {
            giveUp(StatusCodes.BAD_GATEWAY, "no further try is left");
            return;
        }
        var c = all.placer().selectRunner(route, request.service, request.prompt, tried, now);
        if (c == null) waitOrDecline(now);
        else if (all.placer().shouldWait(c, now) && now - request.begun < route.firstChunkTarget() * 4 / 10 && attempts.sent() == 0)
            wake = all.after(AGAIN, this::place);
        else send(c, now);
    }

    private boolean mayAgain(long now) {
        return attempts.sent() < route.maxAttempts()
                && all.budget().tryAcquire(all.placer().servingRouters().size(), now);
    }

    private void waitOrDecline(long now) {
        if (answer.begun()) {
            cut("no runner to go on with");
            return;
        }
        if (attempts.sent() > 0 || now - request.begun > patience()) {
            giveUp(StatusCodes.BAD_GATEWAY, "no runner may take it");
            return;
        }
        tried.clear();
        wake = all.after(AGAIN, this::place);
    }

    private long patience() {
        return all.pool().hasService(request.service) ? Math.max(100_000, route.firstChunkTarget() / 4) : STARTING;
    }

    private void send(RunnerPlacer.Placement c, long now) {
        choice = c;
        attempts.begin();
        tried.add(c.runner().id());
        state = ExchangeState.SENT;
        sentAt = now;
        all.placer().recordStart(c, request.prompt, now);
        all.tell(c, request.prompt);
        about = c.describe();
        call = new RunnerCall(
                all.connections(),
                c.runner().address(),
                request.head(c, now, answer.goesOnWith()),
                request.body,
                new Heard(c));
        call.start(route.isRepeatable(), CONNECT);
    }

    private void release() {
        if (choice == null) return;
        all.placer().recordEnd(choice, request.prompt);
        choice = null;
    }

    private void heard() {
        var now = all.now();
        timing.heard(now);
        choice.runner().recordHeard(now);
    }

    /** Looks whether the client still waits and the runner still speaks. */
    void look(long now) {
        if (client.gone()) clientLeft();
        else if (choice != null) lookAtSilence(now);
    }

    /** What runs once runs to its end without its client, since its effect may be half done; all else ends at once. */
    private void clientLeft() {
        if (route.kind() != Route.Kind.ONCE || choice == null) abandoned();
    }

    /** What may be repeated goes on elsewhere when its runner is silent, everything else waits for its end. */
    private void lookAtSilence(long now) {
        var waits = state == ExchangeState.SENT;
        var silent = waits
                ? RunnerSilence.beforeItsAnswer(choice, sentAt, now)
                : RunnerSilence.withinItsAnswer(choice, timing.heardAt(), now);
        if (!silent) return;
        all.silent(choice.runner());
        if (waits ? route.isRepeatable() : answer.resumable()) elsewhere(now);
    }

    private void elsewhere(long now) {
        if (attempts.sent() >= route.maxAttempts()) return;
        var c = all.placer().selectRunner(route, request.service, request.prompt, tried, now);
        if (c == null
                || c.runner().isSuspected(now)
                || !all.budget().tryAcquire(all.placer().servingRouters().size(), now)) return;
        call.cancel();
        release();
        if (answer.begun()) answer.resume();
        send(c, now);
    }

    /** The runner says that it did not run it: another may. */
    private void notRun() {
        release();
        state = ExchangeState.PLACING;
        place();
    }

    private void brokenOff(String cause) {
        release();
        state = ExchangeState.PLACING;
        if (answer.begun()) {
            if (!answer.resumable()) {
                cut(cause);
                return;
            }
            answer.resume();
            place();
        } else if (route.isRepeatable()) {
            place();
        } else {
            over();
            all.note(Event.RESPONSE_CUT_OFF, route.name() + " " + request.tryId + " may have run: " + cause);
            answer.own(StatusCodes.BAD_GATEWAY, null, "the runner broke off; it may have run");
        }
    }

    private void late() {
        if (state == ExchangeState.OVER) return;
        if (call != null) call.cancel();
        release();
        giveUp(StatusCodes.GATEWAY_TIME_OUT, "the deadline passed");
    }

    /** Ends it; {@code unknown} is the status where it may have run, else the answer promises that it has not. */
    private void giveUp(int unknown, String cause) {
        if (answer.begun()) {
            cut(cause);
            return;
        }
        over();
        if (attempts.mayHaveRun()) answer.own(unknown, null, cause);
        else
            answer.own(
                    StatusCodes.SERVICE_UNAVAILABLE,
                    all.retryAfter(route, request.service),
                    cause + "; it did not run");
    }

    /** This router stops: an answer under way is cut, a request without one ends with its connection. */
    void stop() {
        if (state == ExchangeState.OVER) return;
        if (call != null) call.cancel();
        cut("this router stops");
    }

    private void cut(String cause) {
        release();
        over();
        all.note(Event.RESPONSE_CUT_OFF, route.name() + " " + request.tryId + ": " + cause);
        answer.cut();
    }

    /** The requester went away. */
    private void abandoned() {
        if (state == ExchangeState.OVER) return;
        if (call != null) call.cancel();
        release();
        over();
    }

    private void over() {
        state = ExchangeState.OVER;
        if (timer != null) timer.remove();
        if (wake != null) wake.remove();
        all.remove(this);
    }

    private final class Heard implements RunnerCall.Sink {
        private final RunnerPlacer.Placement mine;

        Heard(RunnerPlacer.Placement mine) {
            this.mine = mine;
        }

        private boolean stale() {
            return state == ExchangeState.OVER || choice != mine;
        }

        @Override
        public void refused(String cause) {
            if (stale()) return;
            mine.runner().markSuspected(all.now());
            attempts.neverLeft();
            notRun();
        }

        @Override
        public void head(int status, HeaderMap h) {
            if (stale()) return;
            var n = all.names();
            var verdict = AnswerVerdict.of(status, h, request.tryId, call.fresh(), n);
            if (verdict == AnswerVerdict.UNUSABLE) {
                foreign();
                return;
            }
            choice.runner().recordHeard(all.now());
            all.load(choice.runner(), h.getFirst(n.runnerLoad()));
            if (verdict == AnswerVerdict.NOT_RUN) {
                if (status == AnswerVerdict.MISDIRECTED && !answer.expectsVersion()) all.misdirected(choice.runner());
                call.cancel();
                attempts.turnedAway();
                notRun();
            } else if (verdict == AnswerVerdict.FAILURE
                    && !answer.begun()
                    && route.isRepeatable()
                    && status >= StatusCodes.INTERNAL_SERVER_ERROR
                    && attempts.sent() < route.maxAttempts()) {
                call.cancel();
                brokenOff("status " + status);
            } else {
                begin(status, h);
            }
        }

        private void foreign() {
            call.cancel();
            brokenOff("an answer that is not this request's own");
        }

        private void begin(int status, HeaderMap h) {
            state = ExchangeState.ANSWERING;
            if (answer.begin(status, h, request.lastEventId())) return;
            call.cancel();
            cut("the next runner answered " + status + ", or with other weights");
        }

        @Override
        public void chunk(ByteBuffer b) {
            if (stale()) return;
            heard();
            switch (answer.take(b)) {
                case PASSED_ON -> {}
                case CLIENT_IS_SLOW -> {
                    call.pause();
                    answer.whenDrained(call::resume);
                }
                case DOES_NOT_FOLLOW -> {
                    call.cancel();
                    cut("the runner does not go on where the stream stands");
                }
            }
        }

        @Override
        public void end() {
            if (stale()) return;
            heard();
            if (!call.endedByClose()) whole();
            else if (!answer.mayEnd()) broken("the connection closed within an event");
            else all.connections().alive(mine.runner().address(), CONNECT, this::lives);
        }

        /** The end of the connection was the end of the answer only where its runner lives on. */
        private void lives(boolean alive) {
            if (stale()) return;
            if (alive) whole();
            else broken("the connection closed and nothing listens there any more");
        }

        private void whole() {
            timing.tellSlow(all, request, sentAt, attempts.sent(), about);
            release();
            over();
            answer.end();
        }

        @Override
        public void broken(String cause) {
            if (stale()) return;
            all.broke(mine.runner(), cause);
            brokenOff(cause);
        }

        @Override
        public void failed(RuntimeException fault) {
            all.note(Event.INTERNAL_ERROR, route.name() + " " + request.tryId + ": " + fault);
            if (stale()) return;
            release();
            giveUp(StatusCodes.BAD_GATEWAY, "an internal fault");
        }
    }
}
