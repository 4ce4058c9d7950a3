package craneway.state.message;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

public final class Plan {
    public static final int PROPOSED = 0, CONFIRMED = 1, STOPPED = 2;
    public static final String EMPTIED = "emptied";

    public long id;
    public String intent = "";
    public int state;
    public long manifestVersion;
    public long marksVersion;
    public long confirmedTopicVersion;
    public String stopCause = "";
    public TreeMap<String, String> marks = new TreeMap<>();
    public List<String> steps = new ArrayList<>();
    public List<String> warnings = new ArrayList<>();
    public List<String> loads = new ArrayList<>();

    public String stateName() {
        return state == PROPOSED ? "proposed" : state == CONFIRMED ? "confirmed" : "stopped";
    }
}
