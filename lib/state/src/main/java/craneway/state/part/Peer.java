package craneway.state.part;

/** What a leader knows of one other store of its group. Times are microseconds; a message's stamp is when it was sent. */
final class Peer {
    private static final long LARGE_PATIENCE = 300_000;
    private static final long LARGE_PER_BYTE = 2;

    final CatchUp catchUp;
    long next;
    long match;
    long acknowledgedStamp = Long.MIN_VALUE;
    long sentAt = Long.MIN_VALUE;
    long heardAt;
    boolean replied;
    boolean readsPieces;
    SnapshotSender snapshot;
    private long largeUpTo;
    private long largeSentAt = Long.MIN_VALUE;
    private long largeUntil = Long.MIN_VALUE;

    Peer(long next, CatchUp catchUp, long now) {
        this.next = next;
        this.catchUp = catchUp;
        heardAt = now;
    }

    /** A large message that reaches up to an entry goes out: until it is answered or overdue, only beats follow it. */
    void sendsLarge(long upTo, long bytes, long now) {
        largeUpTo = upTo;
        largeSentAt = now;
        largeUntil = now + LARGE_PATIENCE + LARGE_PER_BYTE * bytes;
    }

    boolean awaitsLarge(long now) {
        return now < largeUntil;
    }

    /** Whether it lacks entries that may be sent now. */
    boolean behind(long lastIndex, long now) {
        return snapshot == null && next <= lastIndex && !awaitsLarge(now);
    }

    void heard(PartMessage m, long now) {
        heardAt = now;
        acknowledgedStamp = Math.max(acknowledgedStamp, m.sentAt);
        replied = true;
        readsPieces = m.supportsSnapshotPieces;
    }

    void matched(long index, long lastIndex, long now) {
        match = Math.max(match, index);
        next = Math.max(next, match + 1);
        catchUp.matched(match, lastIndex, now);
        if (match >= largeUpTo) largeUntil = Long.MIN_VALUE;
    }

    /** It holds nothing that fits behind the entries sent; a beat refused while a large message is on its way says nothing. */
    void refused(PartMessage m, long now) {
        if (awaitsLarge(now) && m.sentAt != largeSentAt) return;
        largeUntil = Long.MIN_VALUE;
        next = Math.max(match + 1, Math.min(next - 1, m.index + 1));
    }
}
