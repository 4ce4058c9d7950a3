package craneway.pass;

import static craneway.pass.RunnerFault.Outcome.BAD_GATEWAY;
import static craneway.pass.RunnerFault.Outcome.FAILURE_FORWARDED;
import static craneway.pass.RunnerFault.Outcome.GATEWAY_TIMEOUT;
import static craneway.pass.RunnerFault.Outcome.SERVED_BY_FIRST_RUNNER;
import static craneway.pass.RunnerFault.Outcome.SERVED_BY_SECOND_RUNNER;
import static craneway.pass.RunnerFault.Outcome.TIMING_DEPENDENT;
import static craneway.pass.RunnerFault.Outcome.TRUNCATED;

/**
 * What the first runner does wrong with the first request, phase by phase, and what the client gets for it: for a
 * request that may run only once, and for one that may be repeated.
 */
enum RunnerFault {
    RESET_AFTER_ACCEPT(TIMING_DEPENDENT, TIMING_DEPENDENT, (connection, context) -> connection.reset()),
    CLOSE_AFTER_ACCEPT(BAD_GATEWAY, SERVED_BY_SECOND_RUNNER, (connection, context) -> connection.close()),
    RESET_WITHIN_REQUEST_HEAD(BAD_GATEWAY, SERVED_BY_SECOND_RUNNER, (connection, context) -> {
        connection.socket.getInputStream().readNBytes(10);
        connection.reset();
    }),
    CLOSE_WITHIN_REQUEST_HEAD(BAD_GATEWAY, SERVED_BY_SECOND_RUNNER, (connection, context) -> {
        connection.socket.getInputStream().readNBytes(10);
        connection.close();
    }),
    HALF_CLOSE_WITHIN_REQUEST_HEAD(BAD_GATEWAY, SERVED_BY_SECOND_RUNNER, (connection, context) -> {
        connection.socket.getInputStream().readNBytes(10);
        connection.halfClose();
        context.staySilent();
    }),
    SILENCE_WITHIN_REQUEST_HEAD(GATEWAY_TIMEOUT, SERVED_BY_SECOND_RUNNER, (connection, context) -> {
        connection.socket.getInputStream().readNBytes(10);
        context.staySilent();
    }),
    RESET_BEFORE_REQUEST_BODY(BAD_GATEWAY, SERVED_BY_SECOND_RUNNER, (connection, context) -> {
        connection.readHead();
        connection.reset();
    }),
    CLOSE_BEFORE_REQUEST_BODY(BAD_GATEWAY, SERVED_BY_SECOND_RUNNER, (connection, context) -> {
        connection.readHead();
        connection.close();
    }),
    HALF_CLOSE_BEFORE_REQUEST_BODY(BAD_GATEWAY, SERVED_BY_SECOND_RUNNER, (connection, context) -> {
        connection.readHead();
        connection.halfClose();
        context.staySilent();
    }),
    SILENCE_BEFORE_REQUEST_BODY(GATEWAY_TIMEOUT, SERVED_BY_SECOND_RUNNER, (connection, context) -> {
        connection.readHead();
        context.staySilent();
    }),
    RESET_BEFORE_RESPONSE(BAD_GATEWAY, SERVED_BY_SECOND_RUNNER, (connection, context) -> {
        connection.runNextRequest();
        connection.reset();
    }),
    CLOSE_BEFORE_RESPONSE(BAD_GATEWAY, SERVED_BY_SECOND_RUNNER, (connection, context) -> {
        connection.runNextRequest();
        connection.close();
    }),
    HALF_CLOSE_BEFORE_RESPONSE(BAD_GATEWAY, SERVED_BY_SECOND_RUNNER, (connection, context) -> {
        connection.runNextRequest();
        connection.halfClose();
        context.staySilent();
    }),
    SILENCE_BEFORE_RESPONSE(GATEWAY_TIMEOUT, SERVED_BY_SECOND_RUNNER, (connection, context) -> {
        connection.runNextRequest();
        context.staySilent();
    }),
    RESET_WITHIN_RESPONSE_HEAD(BAD_GATEWAY, SERVED_BY_SECOND_RUNNER, (connection, context) -> {
        connection.write(
                ScriptedRunner.successResponse(connection.runNextRequest()).substring(0, 20));
        connection.reset();
    }),
    CLOSE_WITHIN_RESPONSE_HEAD(BAD_GATEWAY, SERVED_BY_SECOND_RUNNER, (connection, context) -> {
        connection.write(
                ScriptedRunner.successResponse(connection.runNextRequest()).substring(0, 20));
        connection.close();
    }),
    SILENCE_WITHIN_RESPONSE_HEAD(GATEWAY_TIMEOUT, SERVED_BY_SECOND_RUNNER, (connection, context) -> {
        connection.write(
                ScriptedRunner.successResponse(connection.runNextRequest()).substring(0, 20));
        context.staySilent();
    }),
    RESPONSE_SENT_BYTE_BY_BYTE(
            SERVED_BY_FIRST_RUNNER,
            SERVED_BY_FIRST_RUNNER,
            (connection, context) ->
                    connection.writeByteByByte(ScriptedRunner.successResponse(connection.runNextRequest()))),
    BYTES_THAT_ARE_NOT_HTTP(BAD_GATEWAY, SERVED_BY_SECOND_RUNNER, (connection, context) -> {
        connection.runNextRequest();
        connection.write("\u0016\u0003\u0001 no answer at all\r\n\r\n");
        connection.close();
    }),
    STATUS_CODE_NOT_NUMERIC(BAD_GATEWAY, SERVED_BY_SECOND_RUNNER, (connection, context) -> {
        connection.write(
                ScriptedRunner.successResponse(connection.runNextRequest()).replace(" 200 ", " 2x0 "));
        context.staySilent();
    }),
    HEADER_WITHOUT_COLON(BAD_GATEWAY, SERVED_BY_SECOND_RUNNER, (connection, context) -> {
        connection.write(
                ScriptedRunner.successResponse(connection.runNextRequest()).replace("Stamp: ", "Stamp "));
        connection.close();
    }),
    SUCCESS_WITH_WRONG_ATTEMPT_ID(BAD_GATEWAY, SERVED_BY_SECOND_RUNNER, (connection, context) -> {
        connection.runNextRequest();
        connection.write(ScriptedRunner.successResponse("another"));
    }),
    FAILURE_WITH_WRONG_ATTEMPT_ID(BAD_GATEWAY, SERVED_BY_SECOND_RUNNER, (connection, context) -> {
        connection.runNextRequest();
        connection.write(ScriptedRunner.response(500, "another", "Stamp: x\r\n", "no"));
    }),
    NOT_RUN_WITH_WRONG_ATTEMPT_ID(BAD_GATEWAY, SERVED_BY_SECOND_RUNNER, (connection, context) -> {
        connection.runNextRequest();
        connection.write(ScriptedRunner.response(503, "another", "Not-Run: 1\r\n", ""));
    }),
    MISDIRECTED_WITH_WRONG_ATTEMPT_ID(BAD_GATEWAY, SERVED_BY_SECOND_RUNNER, (connection, context) -> {
        connection.runNextRequest();
        connection.write(ScriptedRunner.response(421, "another", "", ""));
    }),
    TWO_ATTEMPT_IDS(BAD_GATEWAY, SERVED_BY_SECOND_RUNNER, (connection, context) -> {
        var attemptId = connection.runNextRequest();
        connection.write(ScriptedRunner.response(200, attemptId, "Stamp: s\r\nTry: another\r\n", "whose"));
    }),
    SUCCESS_WITHOUT_ATTEMPT_ID(BAD_GATEWAY, SERVED_BY_SECOND_RUNNER, (connection, context) -> {
        connection.runNextRequest();
        connection.write(ScriptedRunner.response(200, null, "Stamp: s\r\n", "whose"));
    }),
    SUCCESS_WITHOUT_STAMP(
            BAD_GATEWAY,
            SERVED_BY_SECOND_RUNNER,
            (connection, context) ->
                    connection.write(ScriptedRunner.response(200, connection.runNextRequest(), "", "whose"))),
    SUCCESS_WITH_NOT_RUN_HEADER(
            BAD_GATEWAY,
            SERVED_BY_SECOND_RUNNER,
            (connection, context) -> connection.write(
                    ScriptedRunner.response(200, connection.runNextRequest(), "Stamp: s\r\nNot-Run: 1\r\n", "what"))),
    SUCCESS_WITH_CONTENT_ENCODING(
            BAD_GATEWAY,
            SERVED_BY_SECOND_RUNNER,
            (connection, context) -> connection.write(ScriptedRunner.response(
                    200, connection.runNextRequest(), "Stamp: s\r\nContent-Encoding: gzip\r\n", "zzzz"))),
    FAILURE_WITH_CONTENT_ENCODING(
            BAD_GATEWAY,
            SERVED_BY_SECOND_RUNNER,
            (connection, context) -> connection.write(ScriptedRunner.response(
                    500, connection.runNextRequest(), "Stamp: s\r\nContent-Encoding: gzip\r\n", "zzzz"))),
    FAILURE_500(
            FAILURE_FORWARDED,
            SERVED_BY_SECOND_RUNNER,
            (connection, context) -> connection.write(
                    ScriptedRunner.response(500, connection.runNextRequest(), "Stamp: s\r\n", "failed"))),
    FAILURE_504(
            FAILURE_FORWARDED,
            SERVED_BY_SECOND_RUNNER,
            (connection, context) -> connection.write(
                    ScriptedRunner.response(504, connection.runNextRequest(), "Stamp: s\r\n", "failed"))),
    FAILURE_404(
            FAILURE_FORWARDED,
            FAILURE_FORWARDED,
            (connection, context) -> connection.write(
                    ScriptedRunner.response(404, connection.runNextRequest(), "Stamp: s\r\n", "failed"))),
    FAILURE_WITHOUT_ATTEMPT_ID_ON_NEW_CONNECTION(FAILURE_FORWARDED, SERVED_BY_SECOND_RUNNER, (connection, context) -> {
        connection.runNextRequest();
        connection.write(ScriptedRunner.response(500, null, "Stamp: s\r\n", "failed"));
    }),
    RAN_BUT_RESPONDED_503(
            BAD_GATEWAY,
            SERVED_BY_SECOND_RUNNER,
            (connection, context) -> connection.write(
                    ScriptedRunner.response(503, connection.runNextRequest(), "Stamp: s\r\n", "failed"))),
    RAN_BUT_RESPONDED_429(
            BAD_GATEWAY,
            SERVED_BY_SECOND_RUNNER,
            (connection, context) -> connection.write(
                    ScriptedRunner.response(429, connection.runNextRequest(), "Stamp: s\r\n", "failed"))),
    RAN_BUT_RESPONDED_408(
            BAD_GATEWAY,
            SERVED_BY_SECOND_RUNNER,
            (connection, context) -> connection.write(
                    ScriptedRunner.response(408, connection.runNextRequest(), "Stamp: s\r\n", "failed"))),
    NOT_RUN_503(SERVED_BY_SECOND_RUNNER, SERVED_BY_SECOND_RUNNER, (connection, context) -> {
        connection.readWithoutRunning();
        connection.write(ScriptedRunner.response(503, connection.header("Try"), "Not-Run: 1\r\n", ""));
    }),
    NOT_RUN_429(SERVED_BY_SECOND_RUNNER, SERVED_BY_SECOND_RUNNER, (connection, context) -> {
        connection.readWithoutRunning();
        connection.write(ScriptedRunner.response(429, connection.header("Try"), "Not-Run: 1\r\n", ""));
    }),
    NOT_RUN_421(SERVED_BY_SECOND_RUNNER, SERVED_BY_SECOND_RUNNER, (connection, context) -> {
        connection.readWithoutRunning();
        connection.write(ScriptedRunner.response(421, connection.header("Try"), "", ""));
    }),
    CONTINUE_BEFORE_RESPONSE(SERVED_BY_FIRST_RUNNER, SERVED_BY_FIRST_RUNNER, (connection, context) -> {
        var attemptId = connection.runNextRequest();
        connection.write("HTTP/1.1 100 Continue\r\n\r\n");
        connection.write(ScriptedRunner.successResponse(attemptId));
    }),
    EARLY_HINTS_BEFORE_RESPONSE(SERVED_BY_FIRST_RUNNER, SERVED_BY_FIRST_RUNNER, (connection, context) -> {
        var attemptId = connection.runNextRequest();
        connection.write("HTTP/1.1 103 Early Hints\r\nTry: " + attemptId + "\r\n\r\n"
                + ScriptedRunner.successResponse(attemptId));
    }),
    SWITCHING_PROTOCOLS(BAD_GATEWAY, SERVED_BY_SECOND_RUNNER, (connection, context) -> {
        var attemptId = connection.runNextRequest();
        connection.write("HTTP/1.1 101 Switching Protocols\r\nTry: " + attemptId + "\r\n\r\n"
                + ScriptedRunner.successResponse(attemptId));
    }),
    CONTENT_LENGTH_NOT_NUMERIC(BAD_GATEWAY, SERVED_BY_SECOND_RUNNER, (connection, context) -> {
        connection.write(
                ScriptedRunner.successResponse(connection.runNextRequest()).replace("Length: ", "Length: x"));
        connection.close();
    }),
    CONTENT_LENGTH_NEGATIVE(BAD_GATEWAY, SERVED_BY_SECOND_RUNNER, (connection, context) -> {
        connection.write(
                ScriptedRunner.successResponse(connection.runNextRequest()).replace("Length: ", "Length: -"));
        connection.close();
    }),
    TWO_CONTENT_LENGTHS(BAD_GATEWAY, SERVED_BY_SECOND_RUNNER, (connection, context) -> {
        connection.write(ScriptedRunner.successResponse(connection.runNextRequest())
                .replace("Stamp:", "Content-Length: 3\r\nStamp:"));
    }),
    CONTENT_LENGTH_AND_CHUNKED(BAD_GATEWAY, SERVED_BY_SECOND_RUNNER, (connection, context) -> {
        var attemptId = connection.runNextRequest();
        connection.write("HTTP/1.1 200 OK\r\nTry: " + attemptId
                + "\r\nStamp: s\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
                + ScriptedRunner.chunk("body of " + attemptId) + "0\r\n\r\n");
    }),
    CHUNKS_WITH_TRAILERS(SERVED_BY_FIRST_RUNNER, SERVED_BY_FIRST_RUNNER, (connection, context) -> {
        var attemptId = connection.runNextRequest();
        connection.write("HTTP/1.1 200 OK\r\nTry: " + attemptId + "\r\nStamp: s-" + attemptId
                + "\r\nTransfer-Encoding: chunked\r\nTrailer: Later\r\n\r\n"
                + ScriptedRunner.chunk("body of " + attemptId)
                + "0\r\nLater: x\r\n\r\n");
    }),
    CHUNKS_SENT_BYTE_BY_BYTE(SERVED_BY_FIRST_RUNNER, SERVED_BY_FIRST_RUNNER, (connection, context) -> {
        var attemptId = connection.runNextRequest();
        connection.writeByteByByte("HTTP/1.1 200 OK\r\nTry: " + attemptId + "\r\nStamp: s-" + attemptId
                + "\r\nTransfer-Encoding: chunked\r\n\r\n" + ScriptedRunner.chunk("body of ")
                + ScriptedRunner.chunk(attemptId) + "0\r\n\r\n");
    }),
    NO_LENGTH_UNTIL_CLOSE(SERVED_BY_FIRST_RUNNER, SERVED_BY_FIRST_RUNNER, (connection, context) -> {
        var attemptId = connection.runNextRequest();
        connection.write("HTTP/1.1 200 OK\r\nTry: " + attemptId + "\r\nStamp: s-" + attemptId
                + "\r\nConnection: close\r\n\r\nbody of " + attemptId);
        connection.close();
    }),
    NO_LENGTH_UNTIL_RESET(TRUNCATED, TRUNCATED, (connection, context) -> {
        var attemptId = connection.runNextRequest();
        connection.write("HTTP/1.1 200 OK\r\nTry: " + attemptId + "\r\nStamp: s-" + attemptId
                + "\r\nConnection: close\r\n\r\nbody of ");
        context.awaitHeadAtClient();
        connection.reset();
    }),
    CHUNK_HEADER_IS_GARBAGE(TRUNCATED, TRUNCATED, (connection, context) -> {
        var attemptId = connection.runNextRequest();
        connection.write("HTTP/1.1 200 OK\r\nTry: " + attemptId + "\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                + ScriptedRunner.chunk("body") + "no chunk at all\r\n\r\n");
        context.staySilent();
    }),
    SECOND_RESPONSE_INSTEAD_OF_CHUNK(TRUNCATED, TRUNCATED, (connection, context) -> {
        var attemptId = connection.runNextRequest();
        connection.write("HTTP/1.1 200 OK\r\nTry: " + attemptId + "\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                + ScriptedRunner.chunk("body") + ScriptedRunner.successResponse(attemptId));
        context.staySilent();
    }),
    RESET_WITHIN_BODY(TRUNCATED, TRUNCATED, (connection, context) -> {
        connection.write(ScriptedRunner.truncatedSuccessResponse(connection.runNextRequest()));
        context.awaitHeadAtClient();
        connection.reset();
    }),
    CLOSE_WITHIN_BODY(TRUNCATED, TRUNCATED, (connection, context) -> {
        connection.write(ScriptedRunner.truncatedSuccessResponse(connection.runNextRequest()));
        connection.close();
    }),
    HALF_CLOSE_WITHIN_BODY(TRUNCATED, TRUNCATED, (connection, context) -> {
        connection.write(ScriptedRunner.truncatedSuccessResponse(connection.runNextRequest()));
        connection.halfClose();
        context.staySilent();
    }),
    SILENCE_WITHIN_BODY(TRUNCATED, TRUNCATED, (connection, context) -> {
        connection.write(ScriptedRunner.truncatedSuccessResponse(connection.runNextRequest()));
        context.staySilent();
    }),
    CHUNKS_WITHOUT_LAST_CHUNK(TRUNCATED, TRUNCATED, (connection, context) -> {
        var attemptId = connection.runNextRequest();
        connection.write("HTTP/1.1 200 OK\r\nTry: " + attemptId + "\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                + ScriptedRunner.chunk("body"));
        connection.close();
    }),
    CHUNK_SIZE_NOT_NUMERIC(TRUNCATED, TRUNCATED, (connection, context) -> {
        var attemptId = connection.runNextRequest();
        connection.write("HTTP/1.1 200 OK\r\nTry: " + attemptId + "\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                + ScriptedRunner.chunk("body") + "zz\r\nbody\r\n0\r\n\r\n");
        context.staySilent();
    }),
    EXTRA_BYTES_AFTER_RESPONSE(SERVED_BY_FIRST_RUNNER, SERVED_BY_FIRST_RUNNER, (connection, context) -> {
        connection.write(ScriptedRunner.successResponse(connection.runNextRequest()) + "more than was said");
        connection.awaitPeerClose();
    }),
    RESPONSE_SENT_TWICE(SERVED_BY_FIRST_RUNNER, SERVED_BY_FIRST_RUNNER, (connection, context) -> {
        var response = ScriptedRunner.successResponse(connection.runNextRequest());
        connection.write(response + response);
        connection.awaitPeerClose();
    }),
    NOT_RUN_RESPONSE_AFTER_SUCCESS(SERVED_BY_FIRST_RUNNER, SERVED_BY_FIRST_RUNNER, (connection, context) -> {
        connection.write(ScriptedRunner.successResponse(connection.runNextRequest())
                + ScriptedRunner.response(503, null, "Not-Run: 1\r\n", ""));
        connection.awaitPeerClose();
    });

    /** What the client receives. */
    enum Outcome {
        /** The complete success of the first runner, from the only run. */
        SERVED_BY_FIRST_RUNNER,
        /** The complete success of the second runner. */
        SERVED_BY_SECOND_RUNNER,
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
