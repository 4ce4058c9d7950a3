package craneway.model.unit;

/**
 * The periods of the messages between the processes of the core, in microseconds.
 *
 * <p>A low-traffic profile sends as little as possible: member lists go only to nodes that lack them, one store leads
 * all parts, and the messages of all parts are sent at the same moment.
 *
 * @param heartbeatInterval the interval between two heartbeats of a leader
 * @param electionTimeout how long a replica that has received no heartbeat waits before it starts an election
 * @param electionJitter the range of the random time that is added to the election timeout
 * @param helloInterval the interval at which nodes greet each other
 * @param leaseRenewalInterval the interval between two renewals of a lease
 * @param subscriptionRenewalInterval the interval between two renewals of a subscription
 * @param storeReplacementDelay how long a store must be silent before it is replaced in its group
 * @param leaderSettleTime how long a new leader only observes before it moves or replaces anything
 * @param lowTraffic whether the profile saves messages as described above
 */
public record TimingProfile(
        long heartbeatInterval,
        long electionTimeout,
        long electionJitter,
        long helloInterval,
        long leaseRenewalInterval,
        long subscriptionRenewalInterval,
        long storeReplacementDelay,
        long leaderSettleTime,
        boolean lowTraffic) {
    /** The default profile. */
    public static final TimingProfile STANDARD =
            new TimingProfile(100_000, 700_000, 700_000, 500_000, 500_000, 500_000, 4_000_000, 3_000_000, false);
    /** The profile that saves messages. */
    public static final TimingProfile LOW_TRAFFIC =
            new TimingProfile(150_000, 700_000, 350_000, 1_000_000, 600_000, 900_000, 2_800_000, 800_000, true);

    /** Returns how long a leader that no longer reaches a majority may go on leading, in microseconds. */
    public long leaderLeaseDuration() {
        return electionTimeout * 8 / 10;
    }

    /**
     * Returns whether the next heartbeat is due at {@code now} after one at {@code lastSentAt}. In a low-traffic
     * profile the heartbeats of all parts become due at the same moment.
     */
    public boolean isHeartbeatDue(long lastSentAt, long now) {
        return lowTraffic
                ? now / heartbeatInterval != lastSentAt / heartbeatInterval
                : now >= lastSentAt + heartbeatInterval;
    }
}
