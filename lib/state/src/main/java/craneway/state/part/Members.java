package craneway.state.part;

import java.util.Arrays;

public final class Members {
    public long[] voters = {};
    public String[] zones = {};
    public long learnerId;
    public String learnerZone = "";
    public int coreGeneration;

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
        return isVoter(id) || learnerId != 0 && learnerId == id;
    }

    public String zoneOf(long id) {
        for (var i = 0; i < voters.length; i++) if (voters[i] == id) return zones[i];
        return learnerId == id ? learnerZone : null;
    }

    public int majority() {
        return voters.length / 2 + 1;
    }

    public Members withLearner(long id, String zone) {
        var m = copy(voters, zones);
        m.learnerId = id;
        m.learnerZone = zone;
        return m;
    }

    public Members withLearnerPromoted() {
        var n = voters.length;
        var v = Arrays.copyOf(voters, n + 1);
        var z = Arrays.copyOf(zones, n + 1);
        v[n] = learnerId;
        z[n] = learnerZone;
        return copy(v, z);
    }

    private Members copy(long[] v, String[] z) {
        var m = of(v, z);
        m.coreGeneration = coreGeneration;
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
        var m = copy(v, z);
        if (learnerId != id) {
            m.learnerId = learnerId;
            m.learnerZone = learnerZone;
        }
        return m;
    }
}
