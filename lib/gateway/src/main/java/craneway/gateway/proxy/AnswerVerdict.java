package craneway.gateway.proxy;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.StatusCodes;

/** What the head of a runner's answer says about the request that waits for it. Decides without I/O. */
enum AnswerVerdict {
    /** No answer to this request, or none that may be passed on: the request may have run. */
    UNUSABLE,
    /** The runner's word that it has not run the request and will not. */
    NOT_RUN,
    /** The runner's failure. */
    FAILURE,
    /** The runner's success. */
    SUCCESS;

    /** Another runner than the addressee answers; it has not run the request. */
    static final int MISDIRECTED = 421;

    private static final int SUCCESSES = 2;

    /**
     * Judges a head.
     *
     * @param first whether no other request was ever sent on this connection: only then does an answer without an id
     *     belong to this one, since an answer more than expected may stand where the next one is due
     */
    static AnswerVerdict of(int status, HeaderMap headers, String tryId, boolean first, ProtocolNames names) {
        var success = status / 100 == SUCCESSES;
        if (status < StatusCodes.OK || !framed(headers)) return UNUSABLE;
        if (!names(headers, names.tryId(), tryId, first && !success)) return UNUSABLE;
        var notRun = headers.contains(names.notRun());
        if (success) return notRun || !headers.contains(names.successMarker()) || encoded(headers) ? UNUSABLE : SUCCESS;
        if (notRun || status == MISDIRECTED) return NOT_RUN;
        return encoded(headers) || promises(status) ? UNUSABLE : FAILURE;
    }

    /** A status by which a client takes it that the request has not run; here the runner did not say so. */
    private static boolean promises(int status) {
        return status == StatusCodes.SERVICE_UNAVAILABLE
                || status == StatusCodes.TOO_MANY_REQUESTS
                || status == StatusCodes.REQUEST_TIME_OUT;
    }

    /** Clients ask for bodies without encoding. */
    private static boolean encoded(HeaderMap headers) {
        return headers.contains(Headers.CONTENT_ENCODING);
    }

    private static boolean names(HeaderMap headers, HttpString name, String tryId, boolean otherwise) {
        var all = headers.get(name);
        if (all == null) return otherwise;
        return all.size() == 1 && all.getFirst().equals(tryId);
    }

    /** Whether it is plain where the body ends (RFC 9112, 6.3). */
    private static boolean framed(HeaderMap headers) {
        var length = headers.get(Headers.CONTENT_LENGTH);
        var coding = headers.get(Headers.TRANSFER_ENCODING);
        if (coding == null) return length == null || length.size() == 1;
        return length == null && coding.size() == 1 && coding.getFirst().equalsIgnoreCase(Headers.CHUNKED.toString());
    }
}
