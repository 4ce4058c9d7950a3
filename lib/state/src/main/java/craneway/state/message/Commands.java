package craneway.state.message;

import java.util.ArrayList;
import java.util.List;

public final class Commands {
    private Commands() {}

    /** Whether a message body changes the replicated state, rather than only reading it. */
    public static boolean isCommand(Object body) {
        return body.getClass().getEnclosingClass() == Commands.class;
    }

    /** A command under the identity of its asker, so that it is applied once however many copies of it are logged. */
    public static final class IdentifiedCommand {
        public long sessionId;
        public long sequence;
        /** The least sequence of this life that still waits for its verdict. */
        public long lowestPending;

        public byte[] body = {};
    }

    public static final class MemberPut {
        public Node node;
    }

    public static final class MemberLapsed {
        public String name;
        public long incarnation;
    }

    public static final class MemberRemoved {
        public String name;
        public long incarnation;
    }

    public static final class ManifestPut {
        public long baseVersion;
        public String text;
        /** The number its sender gave it; 0: the next one. */
        public long senderNumber;
        /** The text as it was sent, where that differs; kept to be read back. */
        public String sourceText = "";
    }

    public static final class ServiceSync {
        public String service;
        public long manifestVersion;
        public List<String> regions = new ArrayList<>();
        public List<String> cells = new ArrayList<>();
        public List<String> zones = new ArrayList<>();
        public List<String> cellRegions = new ArrayList<>();
        public List<Integer> weights = new ArrayList<>();
        public boolean weighedBySlots;
        /** The region sets that routes to it are bound to, each a list of names. */
        public List<String> boundRegionSets = new ArrayList<>();
    }

    public static final class RunnerPut {
        public String service;
        public String runner;
        public String address;
        public String cell;
        public int slots;
        public long incarnation;
        public boolean cold;
        public int load;
        /** UP or LEAVING, as in the record. */
        public int state;
        /** How long it stays cold, and how long until it is gone, in microseconds; 0: not told. */
        public long coldMicros;

        public long goneAfterMicros;
        /** Rises with each call of a runner; 0: not counted. */
        public long sequence;
    }

    public static final class RunnerMark {
        public String service;
        public String runner;
        public long incarnation;
        public int state;
    }

    /** A life that ended, in whichever service. */
    public static final class RunnerLeft {
        public String runner;
    }

    public static final class ClaimTake {
        public String service;
        public String key;
        public int unit;
        public long tableVersion;
        public String region;
        public String holder;
        public long incarnation;
        public long attempt;
    }

    public static final class ClaimFinish {
        public String service;
        public String key;
        public String holder;
        public long incarnation;
        public long attempt;
        public int state;
    }

    public static final class AgeAdvance {
        public long elapsedMicros;
        public long claimRetentionMicros;
        /** After how long a runner that left or went dark is forgotten; 0: never. */
        public long runnerRetentionMicros;
    }

    public static final class TableStep {
        public String service;
        public long tableVersion;
        public int[] units;
        public int[] cells;
    }

    public static final class Rebuilt {}

    public static final class ClaimsAccepted {}

    public static final class StepAsk {
        public String service;
        public long tableVersion;
        public int[] units;
        public int toCell;
        public String cause = "";
    }

    public static final class StepMark {
        public String service;
        public long id;
        public int state;
        public String cause = "";
        public long holdBackMicros;
        public int[] units = {};
    }

    public static final class UnitDisplacement {
        public String service;
        public long tableVersion;
        public int[] units;
        public int[] cells;
    }

    public static final class ZoneMark {
        public String zone;
        public boolean emptied;
    }

    public static final class PlanPut {
        public Plan plan;
    }

    public static final class PlanConfirm {
        public long plan;
    }

    public static final class PlanStop {
        public long plan;
        public String cause;
    }

    public static final class QuotaTake {
        public String service;
        public String tenant;
        public int unit;
        public long tableVersion;
        public String region;
        public int count;
        public int limit;
    }
}
