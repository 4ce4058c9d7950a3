package craneway.data.request;

/** The phases of a request in a router; see {@link RequestState#transitionTo}. */
enum RequestPhase {
    /** The router decides where the request runs, for the first time or before a retry. */
    DECIDING,
    /** The request waits for a runner, a free slot or a newer placement table. */
    BUFFERED,
    /** The request waits for the core's result on a claim or a quota. */
    AWAITING_CORE,
    /** The request was sent to a runner, which has not begun its response. */
    DISPATCHED,
    /** The request was forwarded to another router, which has not begun its response. */
    FORWARDED,
    /** The response is being streamed to the client. */
    STREAMING,
    /** The request is over. */
    ENDED
}
