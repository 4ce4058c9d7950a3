package craneway.sim.history;

/**
 * One operation of a history as its client saw it; times are in microseconds.
 *
 * @param client the client, which has its own column in the timeline
 * @param type what was requested
 * @param subject the object concerned: {@link #CONFIGURATION} or the name of a zone
 * @param baseVersion the version on which a configuration builds
 * @param version the version number that was sent or read
 * @param value what was sent or read; it tells two configurations with the same number apart
 * @param calledAt when the client first sent it
 * @param endedAt when the definite response came, or when the client gave up
 * @param outcome what the client knows
 */
record Operation(
        String client,
        Type type,
        String subject,
        long baseVersion,
        long version,
        String value,
        long calledAt,
        long endedAt,
        Outcome outcome) {
    static final String CONFIGURATION = "config";
    static final String EMPTIED = "emptied";
    static final String OPEN = "open";
    static final String NO_CONFIGURATION = "nothing";

    /** What a client requests. */
    enum Type {
        CONFIGURE,
        MARK_ZONE,
        READ
    }

    /** What the client knows about the result. */
    enum Outcome {
        ACKNOWLEDGED,
        REFUSED,
        UNCLEAR
    }

    static Operation configure(
            String client, long baseVersion, long version, String value, long calledAt, long endedAt, Outcome outcome) {
        return new Operation(
                client, Type.CONFIGURE, CONFIGURATION, baseVersion, version, value, calledAt, endedAt, outcome);
    }

    static Operation markZone(
            String client, String zone, boolean emptied, long calledAt, long endedAt, Outcome outcome) {
        return new Operation(client, Type.MARK_ZONE, zone, 0, 0, emptied ? EMPTIED : OPEN, calledAt, endedAt, outcome);
    }

    static Operation readConfiguration(String client, long version, String value, long calledAt, long endedAt) {
        return new Operation(
                client, Type.READ, CONFIGURATION, 0, version, value, calledAt, endedAt, Outcome.ACKNOWLEDGED);
    }

    static Operation readZone(String client, String zone, boolean emptied, long calledAt, long endedAt) {
        return new Operation(
                client, Type.READ, zone, 0, 0, emptied ? EMPTIED : OPEN, calledAt, endedAt, Outcome.ACKNOWLEDGED);
    }

    /** Whether the operation has a place in every order of the history. An unclear one may have taken effect or not. */
    boolean isDefinite() {
        return outcome != Outcome.UNCLEAR;
    }

    /** The same operation as an unclear one that was given up at the given time. */
    Operation asUnclear(long until) {
        return new Operation(client, type, subject, baseVersion, version, value, calledAt, until, Outcome.UNCLEAR);
    }

    @Override
    public String toString() {
        return switch (type) {
            case CONFIGURE -> "put " + version + " on " + baseVersion + " (" + value + ")";
            case MARK_ZONE -> (value.equals(EMPTIED) ? "empty " : "take back ") + subject;
            case READ -> "read " + subject;
        };
    }

    /** The result as shown in a timeline. */
    String describeResult() {
        if (outcome == Outcome.UNCLEAR) return "? " + this;
        if (outcome == Outcome.REFUSED) return "REFUSED " + this;
        var read = subject.equals(CONFIGURATION) ? version + " (" + value + ")" : value;
        return "ok " + this + (type == Type.READ ? " = " + read : "");
    }
}
