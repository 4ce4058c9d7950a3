package craneway.state.part;

import java.util.Arrays;

public final class Members {
    public long[] voters = {};
    public String[] zones = {};
    public long learner;
    public String learnerZone = "";
    public int generation;

    public static Members of(long[] voters, String[] zones) {
        var m = new Members();
        m.voters = voters.clone();
        m.zones = zones.clone();
        return m;
    }

    public boolean isVoter(long id) {
        for (var v : voters) if (v == id) return true;
        return false;
    }

    public boolean isMember(long id) {
        return isVoter(id) || learner != 0 && learner == id;
    }

    public String zoneOf(long id) {
        for (var i = 0; i < voters.length; i++) if (voters[i] == id) return zones[i];
        return learner == id ? learnerZone : null;
    }

    public int majority() {
        return voters.length / 2 + 1;
    }

    public Members withLearner(long id, String zone) {
        var m = withVoters(voters, zones);
        m.learner = id;
        m.learnerZone = zone;
        return m;
    }

    public Members promoted() {
        var n = voters.length;
        var v = Arrays.copyOf(voters, n + 1);
        var z = Arrays.copyOf(zones, n + 1);
        v[n] = learner;
        z[n] = learnerZone;
        return withVoters(v, z);
    }

    private Members withVoters(long[] v, String[] z) {
        var m = of(v, z);
        m.generation = generation;
        return m;
    }

    public Members without(long id) {
        var n = (int) Arrays.stream(voters).filter(v -> v != id).count();
        var v = new long[n];
        var z = new String[n];
        var j = 0;
        for (var i = 0; i < voters.length; i++) {
            if (voters[i] == id) continue;
            v[j] = voters[i];
            z[j++] = zones[i];
        }
        var m = withVoters(v, z);
        if (learner != id) {
            m.learner = learner;
            m.learnerZone = learnerZone;
        }
        return m;
    }
}
