package craneway.state.part;

/** What a leader knows of one other store of its group. Times are microseconds; a message's stamp is when it was sent. */
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

    Peer(long next, CatchUpTracker catchUp, long now) {
        this.nextIndex = next;
        this.catchUpTracker = catchUp;
        lastHeardAt = now;
    }

    /** A large message that reaches up to an entry goes out: until it is answered or overdue, only beats follow it. */
    void onLargeMessageSent(long upTo, long bytes, long now) {
        largeMessageLastIndex = upTo;
        largeMessageSentAt = now;
        largeMessageDeadline = now + LARGE_MESSAGE_BASE_TIMEOUT_MICROS + LARGE_MESSAGE_TIMEOUT_MICROS_PER_BYTE * bytes;
    }

    boolean awaitsLargeMessageReply(long now) {
        return now < largeMessageDeadline;
    }

    /** Whether it lacks entries that may be sent now. */
    boolean canSendEntries(long lastIndex, long now) {
        return snapshotSender == null && nextIndex <= lastIndex && !awaitsLargeMessageReply(now);
    }

    void onReply(PartMessage m, long now) {
        lastHeardAt = now;
        lastAcknowledgedSendAt = Math.max(lastAcknowledgedSendAt, m.stamp);
        hasReplied = true;
        supportsSnapshotPieces = m.readsPieces;
    }

    void onMatch(long index, long lastIndex, long now) {
        matchIndex = Math.max(matchIndex, index);
        nextIndex = Math.max(nextIndex, matchIndex + 1);
        catchUpTracker.onMatch(matchIndex, lastIndex, now);
        if (matchIndex >= largeMessageLastIndex) largeMessageDeadline = Long.MIN_VALUE;
    }

    /** It holds nothing that fits behind the entries sent; a beat refused while a large message is on its way says nothing. */
    void onAppendRefused(PartMessage m, long now) {
        if (awaitsLargeMessageReply(now) && m.stamp != largeMessageSentAt) return;
        largeMessageDeadline = Long.MIN_VALUE;
        nextIndex = Math.max(matchIndex + 1, Math.min(nextIndex - 1, m.index + 1));
    }
}
