package craneway.control.store;

import craneway.state.message.Plan;
import craneway.state.record.Rows;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * The state of one part as its leader reports it to operators; sent between processes, so the fields keep their order
 * and types.
 */
public final class PartStatus {
    public int part;
    public String leader;
    public long term;
    public long appliedIndex;
    public int claimCount;
    public Rows.Manifest manifest;
    /** The voters and the learner, each as "name (zone)". */
    public List<String> groupMembers = new ArrayList<>();

    public List<Rows.Member> members = new ArrayList<>();
    public List<Rows.Service> services = new ArrayList<>();
    /** The load of each runner as it reported it, by "service/runner". */
    public TreeMap<String, Integer> loadByRunner = new TreeMap<>();

    public List<Plan> plans = new ArrayList<>();
    public List<LoadPeaks> peaks = new ArrayList<>();

    /** The peak loads of one service. */
    public static final class LoadPeaks {
        public String service;
        /** The peak of each minute, the current minute first. */
        public int[] peakByMinute = {};
    }
}
