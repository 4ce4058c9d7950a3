package craneway.state.part;

import java.util.Arrays;

/**
 * The members of a group: its voters, and at most one learner that receives the log without voting. Instances are
 * treated as immutable once they are shared. The fields are part of the wire format.
 */
public final class Members {
    /** The store ids of the voters. */
    public long[] voters = {};
    /** The zone of each voter, in the order of {@link #voters}. */
    public String[] zones = {};
    /** The store id of the learner, or 0 if there is none. */
    public long learnerId;

    public String learnerZone = "";
    /** The generation of the core; it rises when the core is rebuilt. */
    public int coreGeneration;

    /** Returns the membership of these voters without a learner. The zones are in the order of the voters. */
    public static Members of(long[] voters, String[] zones) {
        var members = new Members();
        members.voters = voters.clone();
        members.zones = zones.clone();
        return members;
    }

    /** Returns whether the store is a voter. */
    public boolean isVoter(long id) {
        for (var voter : voters) if (voter == id) return true;
        return false;
    }

    /** Returns whether the store is a voter or the learner. */
    public boolean isMember(long id) {
        return isVoter(id) || learnerId != 0 && learnerId == id;
    }

    /** Returns the zone of a member, or null if the store is not a member. */
    public String zoneOf(long id) {
        for (var i = 0; i < voters.length; i++) if (voters[i] == id) return zones[i];
        return learnerId == id ? learnerZone : null;
    }

    /** Returns the number of voters that form a majority. */
    public int majority() {
        return voters.length / 2 + 1;
    }

    /** Returns this membership with the given learner. */
    public Members withLearner(long id, String zone) {
        var members = withVoters(voters, zones);
        members.learnerId = id;
        members.learnerZone = zone;
        return members;
    }

    /** Returns this membership with the learner promoted to voter. */
    public Members withLearnerPromoted() {
        var count = voters.length;
        var newVoters = Arrays.copyOf(voters, count + 1);
        var newZones = Arrays.copyOf(zones, count + 1);
        newVoters[count] = learnerId;
        newZones[count] = learnerZone;
        return withVoters(newVoters, newZones);
    }

    private Members withVoters(long[] newVoters, String[] newZones) {
        var members = of(newVoters, newZones);
        members.coreGeneration = coreGeneration;
        return members;
    }

    /** Returns this membership without the given voter or learner. */
    public Members without(long id) {
        var count = (int) Arrays.stream(voters).filter(voter -> voter != id).count();
        var newVoters = new long[count];
        var newZones = new String[count];
        var kept = 0;
        for (var old = 0; old < voters.length; old++) {
            if (voters[old] == id) continue;
            newVoters[kept] = voters[old];
            newZones[kept++] = zones[old];
        }
        var members = withVoters(newVoters, newZones);
        if (learnerId != id) {
            members.learnerId = learnerId;
            members.learnerZone = learnerZone;
        }
        return members;
    }
}
