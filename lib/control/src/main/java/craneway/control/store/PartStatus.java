package craneway.control.store;

import craneway.state.message.Plan;
import craneway.state.record.Rows;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

public final class PartStatus {
    public int part;
    public String leader;
    public long term;
    public long appliedIndex;
    public int claimCount;
    public Rows.Manifest manifest;
    public List<String> groupMembers = new ArrayList<>();
    public List<Rows.Member> members = new ArrayList<>();
    public List<Rows.Service> services = new ArrayList<>();
    public TreeMap<String, Integer> loadByRunner = new TreeMap<>();
    public List<Plan> plans = new ArrayList<>();
    public List<LoadPeaks> peaks = new ArrayList<>();

    public static final class LoadPeaks {
        public String service;
        public int[] peakByMinute = {};
    }
}
