package craneway.gateway.proxy;

/** How far one request has come. */
enum ExchangeState {
    /** No runner has it: one is looked for, or waited for. */
    PLACING,
    /** A runner has it and has not begun to answer. */
    SENT,
    /** A runner's answer is passed on. */
    ANSWERING,
    /** Its answer is given, or its client has gone. */
    OVER
}
