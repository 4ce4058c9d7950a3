package craneway.state.part;

/**
 * What a leader knows about one other member of its group. Times are microseconds. A request's {@link
 * PartMessage#sentAt} is the time it was sent, and the reply returns it.
 */
final class Peer {
    private static final long LARGE_MESSAGE_BASE_TIMEOUT_MICROS = 300_000;
    private static final long LARGE_MESSAGE_TIMEOUT_MICROS_PER_BYTE = 2;

    final CatchUpTracker catchUpTracker;
    long nextIndex;
    long matchIndex;
    long lastAcknowledgedSendAt = Long.MIN_VALUE;
    long lastSentAt = Long.MIN_VALUE;
    long lastHeardAt;
    boolean hasReplied;
    boolean supportsSnapshotPieces;
    SnapshotSender snapshotSender;
    private long largeMessageLastIndex;
    private long largeMessageSentAt = Long.MIN_VALUE;
    private long largeMessageDeadline = Long.MIN_VALUE;

    Peer(long nextIndex, CatchUpTracker catchUpTracker, long now) {
        this.nextIndex = nextIndex;
        this.catchUpTracker = catchUpTracker;
        lastHeardAt = now;
    }

    /**
     * Records that a large message, which ends at the given index, was sent. Until it is answered or times out, the
     * peer gets heartbeats only, so that they are not queued behind more data.
     */
    void onLargeMessageSent(long lastIndex, long bytes, long now) {
        largeMessageLastIndex = lastIndex;
        largeMessageSentAt = now;
        largeMessageDeadline = now + LARGE_MESSAGE_BASE_TIMEOUT_MICROS + LARGE_MESSAGE_TIMEOUT_MICROS_PER_BYTE * bytes;
    }

    /** Returns whether a large message is still on its way and has not timed out. */
    boolean awaitsLargeMessageReply(long now) {
        return now < largeMessageDeadline;
    }

    /** Returns whether the peer is missing entries that may be sent now. */
    boolean canSendEntries(long lastIndex, long now) {
        return snapshotSender == null && nextIndex <= lastIndex && !awaitsLargeMessageReply(now);
    }

    /** Records any reply of the peer. */
    void onReply(PartMessage reply, long now) {
        lastHeardAt = now;
        lastAcknowledgedSendAt = Math.max(lastAcknowledgedSendAt, reply.sentAt);
        hasReplied = true;
        supportsSnapshotPieces = reply.supportsSnapshotPieces;
    }

    /** Records that the peer's log matches the leader's up to an index. */
    void onMatch(long index, long lastIndex, long now) {
        matchIndex = Math.max(matchIndex, index);
        nextIndex = Math.max(nextIndex, matchIndex + 1);
        catchUpTracker.onMatch(matchIndex, lastIndex, now);
        if (matchIndex >= largeMessageLastIndex) largeMessageDeadline = Long.MIN_VALUE;
    }

    /**
     * Moves back after the peer reported that its log does not match before the entries sent. Refusals of heartbeats
     * that overtook a large message are ignored, because they say nothing about it.
     */
    void onAppendRefused(PartMessage reply, long now) {
        if (awaitsLargeMessageReply(now) && reply.sentAt != largeMessageSentAt) return;
        largeMessageDeadline = Long.MIN_VALUE;
        nextIndex = Math.max(matchIndex + 1, Math.min(nextIndex - 1, reply.index + 1));
    }
}
