package craneway.gateway.proxy;

/** The progress of one client request. */
enum ExchangeState {
    /** No runner has the request; a runner is being selected or waited for. */
    SELECTING_RUNNER,
    /** The request was sent to a runner, which has not started to respond. */
    AWAITING_RESPONSE,
    /** A runner's response is being relayed to the client. */
    RELAYING_RESPONSE,
    /** The response has ended, or the client has disconnected. */
    FINISHED
}
