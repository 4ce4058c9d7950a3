package craneway.gateway.proxy;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.StatusCodes;

/** What the head of a runner's response means for the request that awaits it. No I/O. */
enum ResponseOutcome {
    /** Malformed, not a response to this request, or one that must not be relayed: the request may have run. */
    UNUSABLE,
    /** The runner states that it has not run the request and will not run it. */
    NOT_RUN,
    /** The runner ran the request or tried to, and failed. */
    FAILURE,
    /** The runner ran the request successfully. */
    SUCCESS;

    /** Status 421: a runner other than the addressee responded, so the request has not run. */
    static final int MISDIRECTED_STATUS = 421;

    private static final int SUCCESS_STATUS_CLASS = 2;

    /**
     * Classifies the head of a response.
     *
     * @param freshConnection whether no other request was ever sent on this connection. Only then may a response
     *     without an id belong to this request: on a reused connection it may be a surplus response to an earlier one
     */
    static ResponseOutcome of(
            int status, HeaderMap headers, String tryId, boolean freshConnection, ProtocolNames names) {
        var success = status / 100 == SUCCESS_STATUS_CLASS;
        if (status < StatusCodes.OK || !hasClearBodyEnd(headers)) return UNUSABLE;
        if (!hasTryId(headers, names.tryId(), tryId, freshConnection && !success)) return UNUSABLE;
        var notRun = headers.contains(names.notRun());
        if (success)
            return notRun || !headers.contains(names.successMarker()) || hasEncodedBody(headers) ? UNUSABLE : SUCCESS;
        if (notRun || status == MISDIRECTED_STATUS) return NOT_RUN;
        return hasEncodedBody(headers) || impliesNotRun(status) ? UNUSABLE : FAILURE;
    }

    /** Whether clients take this status to mean that the request has not run, which this runner did not state. */
    private static boolean impliesNotRun(int status) {
        return status == StatusCodes.SERVICE_UNAVAILABLE
                || status == StatusCodes.TOO_MANY_REQUESTS
                || status == StatusCodes.REQUEST_TIME_OUT;
    }

    /** Whether the body has a content encoding; clients ask for bodies without one. */
    private static boolean hasEncodedBody(HeaderMap headers) {
        return headers.contains(Headers.CONTENT_ENCODING);
    }

    private static boolean hasTryId(HeaderMap headers, HttpString name, String tryId, boolean resultIfAbsent) {
        var values = headers.get(name);
        if (values == null) return resultIfAbsent;
        return values.size() == 1 && values.getFirst().equals(tryId);
    }

    /** Whether the headers state unambiguously where the body ends (RFC 9112, 6.3). */
    private static boolean hasClearBodyEnd(HeaderMap headers) {
        var lengths = headers.get(Headers.CONTENT_LENGTH);
        var codings = headers.get(Headers.TRANSFER_ENCODING);
        if (codings == null) return lengths == null || lengths.size() == 1;
        return lengths == null
                && codings.size() == 1
                && codings.getFirst().equalsIgnoreCase(Headers.CHUNKED.toString());
    }
}
