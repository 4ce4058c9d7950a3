package craneway.state.record;

import craneway.model.unit.PlacementTable;
import craneway.state.message.Node;
import craneway.state.message.Plan;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The rows of a part's replicated state. The order and types of the fields are the snapshot format; names are not
 * stored. "Age" is the part's own time in microseconds, which advances by {@link
 * craneway.state.message.Commands.AgeAdvance} commands only.
 */
public final class Rows {
    private Rows() {}

    /** A process that holds or held a lease on the part. */
    public static final class Member {
        public Node node;
        public boolean lapsed;
    }

    /** A runner of a service. */
    public static final class Runner {
        /** In service. */
        public static final int UP = 0;

        /** About to stop, or stopped as planned. */
        public static final int LEAVING = 1;

        /** Silent for too long. */
        public static final int DARK = 2;

        /** The runner's id. */
        public String name;

        public String address;
        public String cell;
        public int slots;
        public long incarnation;
        public boolean cold;
        public int state;
        /** How long the runner stays cold, in microseconds from when this row was written; 0 if unknown. */
        public long coldMicros;

        /** How long until the runner goes away, in microseconds from when this row was written; 0 if unknown. */
        public long goneAfterMicros;
        /** The age of the part when the runner was marked leaving or dark. */
        public long endedAtAge;

        /** Returns whether the runner is up. */
        public boolean isUp() {
            return state == UP;
        }

        /** Returns the state in words. */
        public String stateName() {
            return state == UP ? "up" : state == LEAVING ? "leaving" : "dark";
        }
    }

    /**
     * A service with its regions, cells, runners and the table that assigns each unit a home cell. The lists about
     * cells are parallel: the position of a cell in {@link #cells} is its number.
     */
    public static final class Service {
        public String name;
        public long manifestVersion;
        public long tableVersion;
        /** The version of the topic that publishes this row: the log index of its latest change. */
        public long topicVersion;

        public List<String> regions = new ArrayList<>();
        public List<String> cells = new ArrayList<>();
        public List<String> zones = new ArrayList<>();
        public List<String> cellRegions = new ArrayList<>();
        public List<Integer> weights = new ArrayList<>();
        /** Whether a cell's weight is multiplied by the slots of its runners. */
        public boolean weighedBySlots;
        /** The region sets in use, as bits over {@link #regions}. */
        public int[] regionSetsInUse = {};

        /** The number of each unit's home cell, or {@link PlacementTable#NOWHERE}. */
        public int[] homeCells = {};

        public TreeMap<String, Runner> runners = new TreeMap<>();
        /** The number of steps so far, which is the id of the latest one. */
        public long lastStepId;

        public List<Step> steps = new ArrayList<>();
        /** The units that should move to another cell because their own is overloaded. */
        public int[] displacedUnits = {};
        /** The target cell of each unit in {@link #displacedUnits}. */
        public int[] displacedCells = {};
        /**
         * The age, by cell name, until which units with a working home are not moved to the cell, because a step to it
         * was taken back.
         */
        public TreeMap<String, Long> heldBackUntilAge = new TreeMap<>();

        /** Returns the step with this id, or null. */
        public Step findStep(long id) {
            for (var step : steps) if (step.id == id) return step;
            return null;
        }

        /** Returns the cell that a unit is displaced to, or {@link PlacementTable#NOWHERE}. */
        public int displacedCellOf(int unit) {
            for (var at = 0; at < displacedUnits.length; at++)
                if (displacedUnits[at] == unit) return displacedCells[at];
            return PlacementTable.NOWHERE;
        }

        /** Returns the weight of a cell, multiplied by the slots of its runners if {@link #weighedBySlots} is set. */
        public int weightOf(int cell) {
            if (!weighedBySlots) return weights.get(cell);
            var slots = 0;
            for (var runner : runners.values())
                if (runner.state != Runner.LEAVING && runner.cell.equals(cells.get(cell))) slots += runner.slots;
            return weights.get(cell) * Math.max(1, slots);
        }

        /**
         * Returns how many region sets in use compete for the cell: the given set and all its proper subsets that
         * include the cell's region. Returns 1 unless {@link #weighedBySlots} is set.
         */
        public int countRegionSetsSharing(int cell, int set) {
            if (!weighedBySlots) return 1;
            var region = regions.indexOf(cellRegions.get(cell));
            var count = 1;
            for (var other : regionSetsInUse)
                if (other != set && (other & set) == other && (other >> region & 1) == 1) count++;
            return count;
        }

        /** Returns whether the cell's weight is above 0; a cell that left the manifest has weight 0. */
        public boolean hasWeight(int cell) {
            return weights.get(cell) > 0;
        }

        /** Returns the number of each cell, by name. */
        public Map<String, Integer> cellNumbersByName() {
            var indexes = new HashMap<String, Integer>();
            for (var cell = 0; cell < cells.size(); cell++) indexes.putIfAbsent(cells.get(cell), cell);
            return indexes;
        }

        /** Returns the number of runners that are up, by cell number. */
        public int[] countRunnersUp() {
            var cellIndexes = cellNumbersByName();
            var up = new int[cells.size()];
            for (var runner : runners.values())
                if (runner.isUp() && cellIndexes.containsKey(runner.cell)) up[cellIndexes.get(runner.cell)]++;
            return up;
        }

        /** Returns the number of runners of a cell that are up. */
        public long countRunnersUp(int cell) {
            return runners.values().stream()
                    .filter(runner -> runner.isUp() && runner.cell.equals(cells.get(cell)))
                    .count();
        }
    }

    /**
     * A move of some units to another cell. It is asked for, raised once the new home's store has confirmed it (the
     * table then changes and the cell is watched), and finally kept or taken back; an unconfirmed step is dropped.
     */
    public static final class Step {
        /** Waiting until the store of the new home has confirmed it. */
        public static final int ASKED = 0;

        /** In the table; the target cell is being watched. */
        public static final int RAISED = 1;

        /** Final: the cell stayed healthy. */
        public static final int KEPT = 2;

        /** Final: the cell got worse and the units were moved back. */
        public static final int TAKEN_BACK = 3;

        /** Final: the step was not confirmed and had no effect. */
        public static final int DROPPED = 4;

        private static final String[] STATE_NAMES = {"asked", "raised and watched", "kept", "taken back", "dropped"};
        public long id;
        public int state;
        public int[] units = {};
        /** The home cell of each unit before the step. */
        public int[] fromCells = {};
        /** The number of the target cell. */
        public int toCell;

        public String cause = "";
        /** The log index at which the step was asked for. */
        public long askedAtIndex;
        /** The age of the part when the step was asked for. */
        public long askedAtAge;
        /** The table version that contains the step, once it is raised. */
        public long tableVersion;

        /** Returns whether the step may change to the given state. */
        public boolean canBecome(int next) {
            return state == ASKED
                    ? next == RAISED || next == DROPPED
                    : state == RAISED && (next == KEPT || next == TAKEN_BACK);
        }

        /** Returns whether the step has reached a final state. */
        public boolean isOver() {
            return state > RAISED;
        }

        /** Returns the state in words. */
        public String stateName() {
            return STATE_NAMES[state];
        }
    }

    /** The right to run one request, taken by one attempt of one holder so that the request is not run twice. */
    public static final class Claim {
        /** Held by an attempt that may still run. */
        public static final int OPEN = 0;

        /** The request was run. */
        public static final int DONE = 1;

        /** It is not known whether the request was run. */
        public static final int UNKNOWN = 2;

        /** Released by its holder; another attempt may take it. */
        public static final int RELEASED = 3;

        public String holder;
        public long incarnation;
        public long attempt;
        public int unit;
        public int state;
        /** The age of the part when the claim was taken. */
        public long takenAtAge;
    }

    /** The requests that a tenant has used of its quota in one minute of the part's age. */
    public static final class Quota {
        public long minute;
        public int used;
    }

    /** The manifest in force and the marks on zones, cells and tenants. */
    public static final class Manifest {
        public long version;
        /** The version of the topic that publishes the manifest: the log index of its latest change. */
        public long topicVersion;

        public long marksVersion;
        public String text = "";
        /** The text as submitted, where it differs from {@link #text}; kept to be read back. */
        public String sourceText = "";
        /**
         * The 64-bit hashes of accepted configurations, by number, for older processes; see {@link
         * ConfigurationFingerprint}.
         */
        public TreeMap<Long, Long> legacyHashes = new TreeMap<>();

        public TreeMap<String, String> marks = new TreeMap<>();
        /**
         * The version that the newest one is based on; negative if it was accepted by a process too old to record it.
         */
        public long baseVersion = -1;
        /** The digests of accepted configurations, by number; see {@link ConfigurationFingerprint}. */
        public TreeMap<Long, byte[]> digests = new TreeMap<>();

        /** The number that the sender gave the newest configuration if it differs from the version, else 0. */
        public long senderNumber;

        /**
         * Returns the number by which senders know the newest configuration. A rebuild raises the version, but not this
         * number.
         */
        public long knownNumber() {
            return senderNumber == 0 ? version : senderNumber;
        }

        /** Returns a copy for publication, without what is kept only to recognize or read back submissions. */
        public Manifest copyForPublication() {
            var copy = new Manifest();
            copy.version = version;
            copy.topicVersion = topicVersion;
            copy.marksVersion = marksVersion;
            copy.text = text;
            copy.marks = marks;
            return copy;
        }
    }

    /** The result of a command, kept for copies of the command. */
    public static final class RecordedResult {
        public int kind;
        public String detail = "";
        public long retryAfterMicros;
        public long version;
    }

    /**
     * The applied commands of one session, which is one run of a client process. Results below {@link
     * #lowestSequence} are no longer kept.
     */
    public static final class Session {
        /** The lowest sequence number that is still accepted. */
        public long lowestSequence = Long.MIN_VALUE;
        /** The log index of the session's latest command. */
        public long lastIndex;

        /** The kept results, by sequence number. */
        public TreeMap<Long, RecordedResult> results = new TreeMap<>();
    }

    /** All rows of a part. */
    public static final class PartState {
        /** The part's own time, in microseconds. */
        public long ageMicros;
        /** The log index of the latest command. */
        public long lastIndex;

        public long membersVersion;
        /** The number of plans so far, which is the id of the latest one. */
        public long lastPlanId;

        public TreeMap<String, Member> members = new TreeMap<>();
        public Manifest manifest = new Manifest();
        public TreeMap<String, Service> services = new TreeMap<>();
        public TreeMap<String, Claim> claims = new TreeMap<>();
        public TreeMap<String, Quota> quotas = new TreeMap<>();
        public TreeMap<Long, Plan> plans = new TreeMap<>();
        /**
         * Whether a rebuild may have lost claims, so that new ones are refused until retention has passed or they are
         * accepted.
         */
        public boolean claimsLost;
        /** The age of the part at that rebuild. */
        public long claimsLostAtAge;
        /** The client sessions, by session id. */
        public TreeMap<Long, Session> sessions = new TreeMap<>();
    }
}
