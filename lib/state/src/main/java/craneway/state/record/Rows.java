package craneway.state.record;

import craneway.model.unit.PlacementTable;
import craneway.state.message.Node;
import craneway.state.message.Plan;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

public final class Rows {
    private Rows() {}

    public static final class Member {
        public Node node;
        public boolean lapsed;
    }

    public static final class Runner {
        public static final int UP = 0, LEAVING = 1, DARK = 2;
        public String name;
        public String address;
        public String cell;
        public int slots;
        public long incarnation;
        public boolean cold;
        public int state;
        /** How long it stays cold and how long until it is gone, told when this row was written, in microseconds. */
        public long coldMicros;

        public long goneAfterMicros;
        /** The age of the part at which it was marked leaving or dark. */
        public long endedAtAge;

        public boolean isUp() {
            return state == UP;
        }

        public String stateName() {
            return state == UP ? "up" : state == LEAVING ? "leaving" : "dark";
        }
    }

    public static final class Service {
        public String name;
        public long manifestVersion;
        public long tableVersion;
        public long topicVersion;
        public List<String> regions = new ArrayList<>();
        public List<String> cells = new ArrayList<>();
        public List<String> zones = new ArrayList<>();
        public List<String> cellRegions = new ArrayList<>();
        public List<Integer> weights = new ArrayList<>();
        /** Whether a cell weighs as much as the slots of its runners. */
        public boolean weighedBySlots;
        /** Region sets in use, as bits over the list of regions. */
        public int[] regionSetsInUse = {};

        public int[] homeCells = {};
        public TreeMap<String, Runner> runners = new TreeMap<>();
        public long lastStepId;
        public List<Step> steps = new ArrayList<>();
        public int[] displacedUnits = {};
        public int[] displacedCells = {};
        public TreeMap<String, Long> heldBackUntilAge = new TreeMap<>();

        public Step findStep(long id) {
            for (var s : steps) if (s.id == id) return s;
            return null;
        }

        public int displacedCellOf(int unit) {
            for (var i = 0; i < displacedUnits.length; i++) if (displacedUnits[i] == unit) return displacedCells[i];
            return PlacementTable.NOWHERE;
        }

        public int weightOf(int cell) {
            if (!weighedBySlots) return weights.get(cell);
            var sum = 0;
            for (var r : runners.values())
                if (r.state != Runner.LEAVING && r.cell.equals(cells.get(cell))) sum += r.slots;
            return weights.get(cell) * Math.max(1, sum);
        }

        /** How many region sets in use share this cell's region: the set itself and all narrower ones. */
        public int countRegionSetsSharing(int cell, int set) {
            if (!weighedBySlots) return 1;
            var region = regions.indexOf(cellRegions.get(cell));
            var n = 1;
            for (var s : regionSetsInUse) if (s != set && (s & set) == s && (s >> region & 1) == 1) n++;
            return n;
        }

        public boolean hasWeight(int cell) {
            return weights.get(cell) > 0;
        }

        public Map<String, Integer> cellNumbersByName() {
            var all = new HashMap<String, Integer>();
            for (var c = 0; c < cells.size(); c++) all.putIfAbsent(cells.get(c), c);
            return all;
        }

        /** How many runners of each cell are up. */
        public int[] countRunnersUp() {
            var at = cellNumbersByName();
            var up = new int[cells.size()];
            for (var r : runners.values()) if (r.isUp() && at.containsKey(r.cell)) up[at.get(r.cell)]++;
            return up;
        }

        public long countRunnersUp(int cell) {
            return runners.values().stream()
                    .filter(r -> r.isUp() && r.cell.equals(cells.get(cell)))
                    .count();
        }
    }

    public static final class Step {
        public static final int ASKED = 0, RAISED = 1, KEPT = 2, TAKEN_BACK = 3, DROPPED = 4;
        private static final String[] NAMES = {"asked", "raised and watched", "kept", "taken back", "dropped"};
        public long id;
        public int state;
        public int[] units = {};
        public int[] fromCells = {};
        public int toCell;
        public String cause = "";
        public long askedAtIndex;
        public long askedAtAge;
        public long tableVersion;

        public boolean canBecome(int next) {
            return state == ASKED
                    ? next == RAISED || next == DROPPED
                    : state == RAISED && (next == KEPT || next == TAKEN_BACK);
        }

        public boolean isOver() {
            return state > RAISED;
        }

        public String stateName() {
            return NAMES[state];
        }
    }

    public static final class Claim {
        public static final int OPEN = 0, DONE = 1, UNKNOWN = 2, RELEASED = 3;
        public String holder;
        public long incarnation;
        public long attempt;
        public int unit;
        public int state;
        public long takenAtAge;
    }

    public static final class Quota {
        public long minute;
        public int used;
    }

    public static final class Manifest {
        public long version;
        public long topicVersion;
        public long marksVersion;
        public String text = "";
        public String sourceText = "";
        public TreeMap<Long, Long> legacyHashes = new TreeMap<>();
        public TreeMap<String, String> marks = new TreeMap<>();
        /** What the newest version was built on; negative where it was taken by a process too old to keep it. */
        public long baseVersion = -1;
        /** By number, the fingerprints of those taken; see {@link Fingerprint}. */
        public TreeMap<Long, byte[]> digests = new TreeMap<>();

        /** The number that its sender gave the newest one, where that is not the version; 0: it is. */
        public long senderNumber;

        /** The number by which senders know the newest one: a rebuild raises the version, but not that. */
        public long knownNumber() {
            return senderNumber == 0 ? version : senderNumber;
        }

        /** What is in force, without what is kept only to be read back. */
        public Manifest copyForPublication() {
            var m = new Manifest();
            m.version = version;
            m.topicVersion = topicVersion;
            m.marksVersion = marksVersion;
            m.text = text;
            m.marks = marks;
            return m;
        }
    }

    /** What a command of a process came to, kept for copies of it. */
    public static final class RecordedResult {
        public int kind;
        public String detail = "";
        public long retryAfterMicros;
        public long version;
    }

    /** The commands of one process's life that were applied; those below the floor are no longer known one by one. */
    public static final class Session {
        public long lowestSequence = Long.MIN_VALUE;
        /** The index of the latest entry of this life. */
        public long lastIndex;

        public TreeMap<Long, RecordedResult> results = new TreeMap<>();
    }

    public static final class PartState {
        public long ageMicros;
        public long lastIndex;
        public long membersVersion;
        public long lastPlanId;
        public TreeMap<String, Member> members = new TreeMap<>();
        public Manifest manifest = new Manifest();
        public TreeMap<String, Service> services = new TreeMap<>();
        public TreeMap<String, Claim> claims = new TreeMap<>();
        public TreeMap<String, Quota> quotas = new TreeMap<>();
        public TreeMap<Long, Plan> plans = new TreeMap<>();
        public boolean claimsLost;
        public long claimsLostAtAge;
        /** By the identity of the asking process's life. */
        public TreeMap<Long, Session> sessions = new TreeMap<>();
    }
}
