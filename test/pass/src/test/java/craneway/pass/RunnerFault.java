package craneway.pass;

import static craneway.pass.RunnerFault.Outcome.BAD_GATEWAY;
import static craneway.pass.RunnerFault.Outcome.FAILURE_FORWARDED;
import static craneway.pass.RunnerFault.Outcome.GATEWAY_TIMEOUT;
import static craneway.pass.RunnerFault.Outcome.SERVED_BY_FIRST;
import static craneway.pass.RunnerFault.Outcome.SERVED_BY_SECOND;
import static craneway.pass.RunnerFault.Outcome.TIMING_DEPENDENT;
import static craneway.pass.RunnerFault.Outcome.TRUNCATED;

/**
 * What the first runner does wrong with the first request, phase by phase, and what the client gets for it: for a
 * request that may run only once, and for one that may be repeated.
 */
enum RunnerFault {
    RESET_AFTER_ACCEPT(TIMING_DEPENDENT, TIMING_DEPENDENT, (conn, ctx) -> conn.reset()),
    CLOSE_AFTER_ACCEPT(BAD_GATEWAY, SERVED_BY_SECOND, (conn, ctx) -> conn.close()),
    RESET_WITHIN_REQUEST_HEAD(BAD_GATEWAY, SERVED_BY_SECOND, (conn, ctx) -> {
        conn.socket.getInputStream().readNBytes(10);
        conn.reset();
    }),
    CLOSE_WITHIN_REQUEST_HEAD(BAD_GATEWAY, SERVED_BY_SECOND, (conn, ctx) -> {
        conn.socket.getInputStream().readNBytes(10);
        conn.close();
    }),
    HALF_CLOSE_WITHIN_REQUEST_HEAD(BAD_GATEWAY, SERVED_BY_SECOND, (conn, ctx) -> {
        conn.socket.getInputStream().readNBytes(10);
        conn.halfClose();
        ctx.staySilent();
    }),
    SILENCE_WITHIN_REQUEST_HEAD(GATEWAY_TIMEOUT, SERVED_BY_SECOND, (conn, ctx) -> {
        conn.socket.getInputStream().readNBytes(10);
        ctx.staySilent();
    }),
    RESET_BEFORE_REQUEST_BODY(BAD_GATEWAY, SERVED_BY_SECOND, (conn, ctx) -> {
        conn.readHead();
        conn.reset();
    }),
    CLOSE_BEFORE_REQUEST_BODY(BAD_GATEWAY, SERVED_BY_SECOND, (conn, ctx) -> {
        conn.readHead();
        conn.close();
    }),
    HALF_CLOSE_BEFORE_REQUEST_BODY(BAD_GATEWAY, SERVED_BY_SECOND, (conn, ctx) -> {
        conn.readHead();
        conn.halfClose();
        ctx.staySilent();
    }),
    SILENCE_BEFORE_REQUEST_BODY(GATEWAY_TIMEOUT, SERVED_BY_SECOND, (conn, ctx) -> {
        conn.readHead();
        ctx.staySilent();
    }),
    RESET_BEFORE_RESPONSE(BAD_GATEWAY, SERVED_BY_SECOND, (conn, ctx) -> {
        conn.runRequest();
        conn.reset();
    }),
    CLOSE_BEFORE_RESPONSE(BAD_GATEWAY, SERVED_BY_SECOND, (conn, ctx) -> {
        conn.runRequest();
        conn.close();
    }),
    HALF_CLOSE_BEFORE_RESPONSE(BAD_GATEWAY, SERVED_BY_SECOND, (conn, ctx) -> {
        conn.runRequest();
        conn.halfClose();
        ctx.staySilent();
    }),
    SILENCE_BEFORE_RESPONSE(GATEWAY_TIMEOUT, SERVED_BY_SECOND, (conn, ctx) -> {
        conn.runRequest();
        ctx.staySilent();
    }),
    RESET_WITHIN_RESPONSE_HEAD(BAD_GATEWAY, SERVED_BY_SECOND, (conn, ctx) -> {
        conn.write(ScriptedRunner.success(conn.runRequest()).substring(0, 20));
        conn.reset();
    }),
    CLOSE_WITHIN_RESPONSE_HEAD(BAD_GATEWAY, SERVED_BY_SECOND, (conn, ctx) -> {
        conn.write(ScriptedRunner.success(conn.runRequest()).substring(0, 20));
        conn.close();
    }),
    SILENCE_WITHIN_RESPONSE_HEAD(GATEWAY_TIMEOUT, SERVED_BY_SECOND, (conn, ctx) -> {
        conn.write(ScriptedRunner.success(conn.runRequest()).substring(0, 20));
        ctx.staySilent();
    }),
    RESPONSE_SENT_BYTE_BY_BYTE(
            SERVED_BY_FIRST,
            SERVED_BY_FIRST,
            (conn, ctx) -> conn.writeByteByByte(ScriptedRunner.success(conn.runRequest()))),
    BYTES_THAT_ARE_NOT_HTTP(BAD_GATEWAY, SERVED_BY_SECOND, (conn, ctx) -> {
        conn.runRequest();
        conn.write("\u0016\u0003\u0001 no answer at all\r\n\r\n");
        conn.close();
    }),
    STATUS_CODE_NOT_NUMERIC(BAD_GATEWAY, SERVED_BY_SECOND, (conn, ctx) -> {
        conn.write(ScriptedRunner.success(conn.runRequest()).replace(" 200 ", " 2x0 "));
        ctx.staySilent();
    }),
    HEADER_WITHOUT_COLON(BAD_GATEWAY, SERVED_BY_SECOND, (conn, ctx) -> {
        conn.write(ScriptedRunner.success(conn.runRequest()).replace("Stamp: ", "Stamp "));
        conn.close();
    }),
    SUCCESS_WITH_WRONG_ATTEMPT_ID(BAD_GATEWAY, SERVED_BY_SECOND, (conn, ctx) -> {
        conn.runRequest();
        conn.write(ScriptedRunner.success("another"));
    }),
    FAILURE_WITH_WRONG_ATTEMPT_ID(BAD_GATEWAY, SERVED_BY_SECOND, (conn, ctx) -> {
        conn.runRequest();
        conn.write(ScriptedRunner.response(500, "another", "Stamp: x\r\n", "no"));
    }),
    NOT_RUN_WITH_WRONG_ATTEMPT_ID(BAD_GATEWAY, SERVED_BY_SECOND, (conn, ctx) -> {
        conn.runRequest();
        conn.write(ScriptedRunner.response(503, "another", "Not-Run: 1\r\n", ""));
    }),
    MISDIRECTED_WITH_WRONG_ATTEMPT_ID(BAD_GATEWAY, SERVED_BY_SECOND, (conn, ctx) -> {
        conn.runRequest();
        conn.write(ScriptedRunner.response(421, "another", "", ""));
    }),
    TWO_ATTEMPT_IDS(BAD_GATEWAY, SERVED_BY_SECOND, (conn, ctx) -> {
        var id = conn.runRequest();
        conn.write(ScriptedRunner.response(200, id, "Stamp: s\r\nTry: another\r\n", "whose"));
    }),
    SUCCESS_WITHOUT_ATTEMPT_ID(BAD_GATEWAY, SERVED_BY_SECOND, (conn, ctx) -> {
        conn.runRequest();
        conn.write(ScriptedRunner.response(200, null, "Stamp: s\r\n", "whose"));
    }),
    SUCCESS_WITHOUT_STAMP(
            BAD_GATEWAY,
            SERVED_BY_SECOND,
            (conn, ctx) -> conn.write(ScriptedRunner.response(200, conn.runRequest(), "", "whose"))),
    SUCCESS_WITH_NOT_RUN_HEADER(
            BAD_GATEWAY,
            SERVED_BY_SECOND,
            (conn, ctx) ->
                    conn.write(ScriptedRunner.response(200, conn.runRequest(), "Stamp: s\r\nNot-Run: 1\r\n", "what"))),
    SUCCESS_WITH_CONTENT_ENCODING(
            BAD_GATEWAY,
            SERVED_BY_SECOND,
            (conn, ctx) -> conn.write(
                    ScriptedRunner.response(200, conn.runRequest(), "Stamp: s\r\nContent-Encoding: gzip\r\n", "zzzz"))),
    FAILURE_WITH_CONTENT_ENCODING(
            BAD_GATEWAY,
            SERVED_BY_SECOND,
            (conn, ctx) -> conn.write(
                    ScriptedRunner.response(500, conn.runRequest(), "Stamp: s\r\nContent-Encoding: gzip\r\n", "zzzz"))),
    FAILURE_500(
            FAILURE_FORWARDED,
            SERVED_BY_SECOND,
            (conn, ctx) -> conn.write(ScriptedRunner.response(500, conn.runRequest(), "Stamp: s\r\n", "failed"))),
    FAILURE_504(
            FAILURE_FORWARDED,
            SERVED_BY_SECOND,
            (conn, ctx) -> conn.write(ScriptedRunner.response(504, conn.runRequest(), "Stamp: s\r\n", "failed"))),
    FAILURE_404(
            FAILURE_FORWARDED,
            FAILURE_FORWARDED,
            (conn, ctx) -> conn.write(ScriptedRunner.response(404, conn.runRequest(), "Stamp: s\r\n", "failed"))),
    FAILURE_WITHOUT_ATTEMPT_ID_ON_NEW_CONNECTION(FAILURE_FORWARDED, SERVED_BY_SECOND, (conn, ctx) -> {
        conn.runRequest();
        conn.write(ScriptedRunner.response(500, null, "Stamp: s\r\n", "failed"));
    }),
    RAN_BUT_RESPONDED_503(
            BAD_GATEWAY,
            SERVED_BY_SECOND,
            (conn, ctx) -> conn.write(ScriptedRunner.response(503, conn.runRequest(), "Stamp: s\r\n", "failed"))),
    RAN_BUT_RESPONDED_429(
            BAD_GATEWAY,
            SERVED_BY_SECOND,
            (conn, ctx) -> conn.write(ScriptedRunner.response(429, conn.runRequest(), "Stamp: s\r\n", "failed"))),
    RAN_BUT_RESPONDED_408(
            BAD_GATEWAY,
            SERVED_BY_SECOND,
            (conn, ctx) -> conn.write(ScriptedRunner.response(408, conn.runRequest(), "Stamp: s\r\n", "failed"))),
    NOT_RUN_503(SERVED_BY_SECOND, SERVED_BY_SECOND, (conn, ctx) -> {
        conn.readWithoutRunning();
        conn.write(ScriptedRunner.response(503, conn.header("Try"), "Not-Run: 1\r\n", ""));
    }),
    NOT_RUN_429(SERVED_BY_SECOND, SERVED_BY_SECOND, (conn, ctx) -> {
        conn.readWithoutRunning();
        conn.write(ScriptedRunner.response(429, conn.header("Try"), "Not-Run: 1\r\n", ""));
    }),
    NOT_RUN_421(SERVED_BY_SECOND, SERVED_BY_SECOND, (conn, ctx) -> {
        conn.readWithoutRunning();
        conn.write(ScriptedRunner.response(421, conn.header("Try"), "", ""));
    }),
    CONTINUE_BEFORE_RESPONSE(SERVED_BY_FIRST, SERVED_BY_FIRST, (conn, ctx) -> {
        var id = conn.runRequest();
        conn.write("HTTP/1.1 100 Continue\r\n\r\n");
        conn.write(ScriptedRunner.success(id));
    }),
    EARLY_HINTS_BEFORE_RESPONSE(SERVED_BY_FIRST, SERVED_BY_FIRST, (conn, ctx) -> {
        var id = conn.runRequest();
        conn.write("HTTP/1.1 103 Early Hints\r\nTry: " + id + "\r\n\r\n" + ScriptedRunner.success(id));
    }),
    SWITCHING_PROTOCOLS(BAD_GATEWAY, SERVED_BY_SECOND, (conn, ctx) -> {
        var id = conn.runRequest();
        conn.write("HTTP/1.1 101 Switching Protocols\r\nTry: " + id + "\r\n\r\n" + ScriptedRunner.success(id));
    }),
    CONTENT_LENGTH_NOT_NUMERIC(BAD_GATEWAY, SERVED_BY_SECOND, (conn, ctx) -> {
        conn.write(ScriptedRunner.success(conn.runRequest()).replace("Length: ", "Length: x"));
        conn.close();
    }),
    CONTENT_LENGTH_NEGATIVE(BAD_GATEWAY, SERVED_BY_SECOND, (conn, ctx) -> {
        conn.write(ScriptedRunner.success(conn.runRequest()).replace("Length: ", "Length: -"));
        conn.close();
    }),
    TWO_CONTENT_LENGTHS(BAD_GATEWAY, SERVED_BY_SECOND, (conn, ctx) -> {
        conn.write(ScriptedRunner.success(conn.runRequest()).replace("Stamp:", "Content-Length: 3\r\nStamp:"));
    }),
    CONTENT_LENGTH_AND_CHUNKED(BAD_GATEWAY, SERVED_BY_SECOND, (conn, ctx) -> {
        var id = conn.runRequest();
        conn.write("HTTP/1.1 200 OK\r\nTry: " + id
                + "\r\nStamp: s\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
                + ScriptedRunner.chunk("body of " + id) + "0\r\n\r\n");
    }),
    CHUNKS_WITH_TRAILERS(SERVED_BY_FIRST, SERVED_BY_FIRST, (conn, ctx) -> {
        var id = conn.runRequest();
        conn.write("HTTP/1.1 200 OK\r\nTry: " + id + "\r\nStamp: s-" + id
                + "\r\nTransfer-Encoding: chunked\r\nTrailer: Later\r\n\r\n"
                + ScriptedRunner.chunk("body of " + id)
                + "0\r\nLater: x\r\n\r\n");
    }),
    CHUNKS_SENT_BYTE_BY_BYTE(SERVED_BY_FIRST, SERVED_BY_FIRST, (conn, ctx) -> {
        var id = conn.runRequest();
        conn.writeByteByByte("HTTP/1.1 200 OK\r\nTry: " + id + "\r\nStamp: s-" + id
                + "\r\nTransfer-Encoding: chunked\r\n\r\n" + ScriptedRunner.chunk("body of ")
                + ScriptedRunner.chunk(id) + "0\r\n\r\n");
    }),
    NO_LENGTH_UNTIL_CLOSE(SERVED_BY_FIRST, SERVED_BY_FIRST, (conn, ctx) -> {
        var id = conn.runRequest();
        conn.write(
                "HTTP/1.1 200 OK\r\nTry: " + id + "\r\nStamp: s-" + id + "\r\nConnection: close\r\n\r\nbody of " + id);
        conn.close();
    }),
    NO_LENGTH_UNTIL_RESET(TRUNCATED, TRUNCATED, (conn, ctx) -> {
        var id = conn.runRequest();
        conn.write("HTTP/1.1 200 OK\r\nTry: " + id + "\r\nStamp: s-" + id + "\r\nConnection: close\r\n\r\nbody of ");
        ctx.awaitHeadAtClient();
        conn.reset();
    }),
    CHUNK_HEADER_IS_GARBAGE(TRUNCATED, TRUNCATED, (conn, ctx) -> {
        var id = conn.runRequest();
        conn.write("HTTP/1.1 200 OK\r\nTry: " + id + "\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                + ScriptedRunner.chunk("body") + "no chunk at all\r\n\r\n");
        ctx.staySilent();
    }),
    SECOND_RESPONSE_INSTEAD_OF_CHUNK(TRUNCATED, TRUNCATED, (conn, ctx) -> {
        var id = conn.runRequest();
        conn.write("HTTP/1.1 200 OK\r\nTry: " + id + "\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                + ScriptedRunner.chunk("body") + ScriptedRunner.success(id));
        ctx.staySilent();
    }),
    RESET_WITHIN_BODY(TRUNCATED, TRUNCATED, (conn, ctx) -> {
        conn.write(ScriptedRunner.truncatedSuccess(conn.runRequest()));
        ctx.awaitHeadAtClient();
        conn.reset();
    }),
    CLOSE_WITHIN_BODY(TRUNCATED, TRUNCATED, (conn, ctx) -> {
        conn.write(ScriptedRunner.truncatedSuccess(conn.runRequest()));
        conn.close();
    }),
    HALF_CLOSE_WITHIN_BODY(TRUNCATED, TRUNCATED, (conn, ctx) -> {
        conn.write(ScriptedRunner.truncatedSuccess(conn.runRequest()));
        conn.halfClose();
        ctx.staySilent();
    }),
    SILENCE_WITHIN_BODY(TRUNCATED, TRUNCATED, (conn, ctx) -> {
        conn.write(ScriptedRunner.truncatedSuccess(conn.runRequest()));
        ctx.staySilent();
    }),
    CHUNKS_WITHOUT_LAST_CHUNK(TRUNCATED, TRUNCATED, (conn, ctx) -> {
        var id = conn.runRequest();
        conn.write("HTTP/1.1 200 OK\r\nTry: " + id + "\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                + ScriptedRunner.chunk("body"));
        conn.close();
    }),
    CHUNK_SIZE_NOT_NUMERIC(TRUNCATED, TRUNCATED, (conn, ctx) -> {
        var id = conn.runRequest();
        conn.write("HTTP/1.1 200 OK\r\nTry: " + id + "\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                + ScriptedRunner.chunk("body") + "zz\r\nbody\r\n0\r\n\r\n");
        ctx.staySilent();
    }),
    EXTRA_BYTES_AFTER_RESPONSE(SERVED_BY_FIRST, SERVED_BY_FIRST, (conn, ctx) -> {
        conn.write(ScriptedRunner.success(conn.runRequest()) + "more than was said");
        conn.awaitPeerClose();
    }),
    RESPONSE_SENT_TWICE(SERVED_BY_FIRST, SERVED_BY_FIRST, (conn, ctx) -> {
        var response = ScriptedRunner.success(conn.runRequest());
        conn.write(response + response);
        conn.awaitPeerClose();
    }),
    NOT_RUN_RESPONSE_AFTER_SUCCESS(SERVED_BY_FIRST, SERVED_BY_FIRST, (conn, ctx) -> {
        conn.write(
                ScriptedRunner.success(conn.runRequest()) + ScriptedRunner.response(503, null, "Not-Run: 1\r\n", ""));
        conn.awaitPeerClose();
    });

    /** What the client receives. */
    enum Outcome {
        /** The complete success of the first runner, from the only run. */
        SERVED_BY_FIRST,
        /** The complete success of the second runner. */
        SERVED_BY_SECOND,
        /** The first runner's failure response, unchanged. */
        FAILURE_FORWARDED,
        /** The router's 502: the request may have run. */
        BAD_GATEWAY,
        /** The router's 504 at the deadline: the request may have run. */
        GATEWAY_TIMEOUT,
        /** The response head, then a body that is visibly incomplete. */
        TRUNCATED,
        /** Depends on timing; only the invariants are checked. */
        TIMING_DEPENDENT
    }

    /** Performs the fault on a connection. */
    interface FaultScript {
        void play(ScriptedRunner.Connection connection, FaultContext context) throws Exception;
    }

    /** What a script can wait for. */
    interface FaultContext {
        /** Blocks without sending anything. */
        void staySilent() throws InterruptedException;

        /** Waits until the client has received the head of the response. */
        void awaitHeadAtClient() throws InterruptedException;
    }

    final Outcome outcomeIfRunOnce;
    final Outcome outcomeIfRepeatable;
    final FaultScript script;

    RunnerFault(Outcome outcomeIfRunOnce, Outcome outcomeIfRepeatable, FaultScript script) {
        this.outcomeIfRunOnce = outcomeIfRunOnce;
        this.outcomeIfRepeatable = outcomeIfRepeatable;
        this.script = script;
    }
}
