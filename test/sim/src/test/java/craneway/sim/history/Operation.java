package craneway.sim.history;

/**
 * One operation of a history as its client saw it; times are in microseconds.
 *
 * @param client the client, which has its own column in the timeline
 * @param type what was requested
 * @param subject the object concerned: {@link #CONFIGURATION} or the name of a zone
 * @param base the version on which a configuration builds
 * @param number the version number that was sent or read
 * @param value what was sent or read; it tells two configurations with the same number apart
 * @param call when the client first sent it
 * @param end when the definite response came, or when the client gave up
 * @param outcome what the client knows
 */
record Operation(
        String client,
        Type type,
        String subject,
        long base,
        long number,
        String value,
        long call,
        long end,
        Outcome outcome) {
    static final String CONFIGURATION = "config";
    static final String EMPTIED = "emptied";
    static final String OPEN = "open";
    static final String NOTHING = "nothing";

    /** What a client requests. */
    enum Type {
        CONFIGURE,
        MARK,
        READ
    }

    /** What the client knows about the result. */
    enum Outcome {
        ACKNOWLEDGED,
        REFUSED,
        UNCLEAR
    }

    static Operation configure(
            String client, long base, long number, String value, long call, long end, Outcome outcome) {
        return new Operation(client, Type.CONFIGURE, CONFIGURATION, base, number, value, call, end, outcome);
    }

    static Operation mark(String client, String zone, boolean emptied, long call, long end, Outcome outcome) {
        return new Operation(client, Type.MARK, zone, 0, 0, emptied ? EMPTIED : OPEN, call, end, outcome);
    }

    static Operation readConfiguration(String client, long number, String value, long call, long end) {
        return new Operation(client, Type.READ, CONFIGURATION, 0, number, value, call, end, Outcome.ACKNOWLEDGED);
    }

    static Operation readZone(String client, String zone, boolean emptied, long call, long end) {
        return new Operation(client, Type.READ, zone, 0, 0, emptied ? EMPTIED : OPEN, call, end, Outcome.ACKNOWLEDGED);
    }

    /** Whether the operation has a place in every order of the history. An unclear one may have taken effect or not. */
    boolean required() {
        return outcome != Outcome.UNCLEAR;
    }

    /** The same operation as an unclear one that was given up at the given time. */
    Operation unclear(long until) {
        return new Operation(client, type, subject, base, number, value, call, until, Outcome.UNCLEAR);
    }

    @Override
    public String toString() {
        return switch (type) {
            case CONFIGURE -> "put " + number + " on " + base + " (" + value + ")";
            case MARK -> (value.equals(EMPTIED) ? "empty " : "take back ") + subject;
            case READ -> "read " + subject;
        };
    }

    /** The result as shown in a timeline. */
    String answer() {
        if (outcome == Outcome.UNCLEAR) return "? " + this;
        if (outcome == Outcome.REFUSED) return "REFUSED " + this;
        var read = subject.equals(CONFIGURATION) ? number + " (" + value + ")" : value;
        return "ok " + this + (type == Type.READ ? " = " + read : "");
    }
}
