package craneway.state.part;

/** A planned hand-over of leadership: proposals stop until the heir is level and told to stand, or until it is given up. */
final class HandOver {
    private final Replica replica;
    private final Replication replication;
    private long since;
    private long heir;

    HandOver(Replica replica, Replication replication) {
        this.replica = replica;
        this.replication = replication;
    }

    boolean open() {
        return since != 0;
    }

    void begin(long to, long now) {
        since = now;
        heir = to;
    }

    void end() {
        since = 0;
        heir = 0;
    }

    /** Gives up an heir that never gets level; whether one that was told to stand has taken its time over it. */
    boolean overdue(long now) {
        if (!open() || now <= since + replica.timing.electionTimeout()) return false;
        var told = heir == 0;
        if (!told) end();
        return told;
    }

    /** Tells the heir to stand once it holds all, and all is committed. */
    void finish() {
        var last = replica.log.lastIndex();
        if (heir == 0 || replica.commit < last || replication.matchOf(heir) < last) return;
        replica.send(replica.message(PartMessage.TIMEOUT_NOW, heir));
        heir = 0;
    }
}
