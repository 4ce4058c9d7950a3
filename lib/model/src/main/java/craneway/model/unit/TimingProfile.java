package craneway.model.unit;

/**
 * How often the processes of the core speak to one another, in microseconds: a leader's beat, how long a peer holds an election back
 * without one and by how much that is spread, greetings, renewals, subscriptions, the silence after which a store is replaced,
 * and how long a leader watches before it moves anything. A low-traffic profile says as little as it can: lists only to those who lack
 * them, all parts with one leader, and messages of all parts at the same moment.
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
    public static final TimingProfile STANDARD =
            new TimingProfile(100_000, 700_000, 700_000, 500_000, 500_000, 500_000, 4_000_000, 3_000_000, false);
    public static final TimingProfile LOW_TRAFFIC =
            new TimingProfile(150_000, 700_000, 350_000, 1_000_000, 600_000, 900_000, 2_800_000, 800_000, true);

    /** The pace of leaders: how long one that no longer reaches a majority may go on. */
    public long leaderLeaseDuration() {
        return electionTimeout * 8 / 10;
    }

    /** Whether something sent then is due again; a low-traffic profile lets all parts fall due together. */
    public boolean isHeartbeatDue(long sent, long now) {
        return lowTraffic ? now / heartbeatInterval != sent / heartbeatInterval : now >= sent + heartbeatInterval;
    }
}
