package craneway.sim;

/** The limits that the documentation states, against which {@link PromiseChecker} compares what it measures. */
public enum Limit {
    LEAVE("s, new work to a leaving runner after its leave was acknowledged", 3.3),
    EMPTY("s, new work in an emptied zone or cell after the confirm", 5.2),
    SPREAD("s, work decided on an older manifest after the newer was in force everywhere", 3.3),
    REACH("s, a node that is up without a taken manifest", 3.3),
    COLD("streams on a cold runner over what its ramp permits", 0),
    TRIES("share of submissions that were extra runs or forwards, past the allowance", 0.2),
    ALLOWANCE("extra runs or forwards for the whole fleet past that share", 10),
    WAIT("share of the deadline before a decline", 0.5),
    RETURN("s, service after a region comes back", 12);

    /** What the value measures, with its unit. */
    public final String description;

    /** The limit in the unit that the description names. */
    public final double value;

    Limit(String description, double value) {
        this.description = description;
        this.value = value;
    }

    /** A limit in seconds as microseconds. */
    public long micros() {
        return (long) (value * 1_000_000);
    }
}
