package craneway.state.message;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/**
 * A plan made from an operator's intent: the marks it sets and its expected effect. It is part of the wire and snapshot
 * formats.
 */
public final class Plan {
    /** Proposed to the operator and without effect so far. */
    public static final int PROPOSED = 0;

    /** Confirmed; its marks are in force. */
    public static final int CONFIRMED = 1;

    /** Stopped before it was confirmed. */
    public static final int STOPPED = 2;

    /** The value of a mark that empties a zone or a cell. */
    public static final String EMPTIED = "emptied";

    public long id;
    public String intent = "";
    public int state;
    public long manifestVersion;
    public long marksVersion;
    /** The version of the manifest's topic that the confirmation created. */
    public long confirmedTopicVersion;
    /** Why the plan was stopped. */
    public String stopCause = "";
    /** The marks to set, by the text of their {@link MarkKey}; an empty value removes the mark. */
    public TreeMap<String, String> marks = new TreeMap<>();

    public List<String> steps = new ArrayList<>();
    public List<String> warnings = new ArrayList<>();
    public List<String> loads = new ArrayList<>();

    /** Returns the state in words. */
    public String stateName() {
        return state == PROPOSED ? "proposed" : state == CONFIRMED ? "confirmed" : "stopped";
    }
}
