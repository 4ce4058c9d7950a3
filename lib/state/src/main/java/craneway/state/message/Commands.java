package craneway.state.message;

import java.util.ArrayList;
import java.util.List;

/**
 * The commands that change the replicated state of a part. The order and types of the fields are the wire and log
 * format; names are not written.
 */
public final class Commands {
    private Commands() {}

    /** Returns whether a message body is a command, which changes the replicated state, rather than a query. */
    public static boolean isCommand(Object body) {
        return body.getClass().getEnclosingClass() == Commands.class;
    }

    /**
     * A command with the identity of its sender, so that it is applied once however many copies of it are in the log.
     */
    public static final class IdentifiedCommand {
        /** The id of the sending session, which is one run of a client process. */
        public long sessionId;
        /** The command's number within the session. */
        public long sequence;
        /** The lowest sequence number of the session whose result the sender still waits for. */
        public long lowestPending;

        /** The tagged encoding of the command. */
        public byte[] body = {};
    }

    /** Adds or updates a member. */
    public static final class MemberPut {
        public Node node;
    }

    /** Records that the lease of a member's incarnation has lapsed. */
    public static final class MemberLapsed {
        public String name;
        public long incarnation;
    }

    /** Removes a member's incarnation that left or has been silent for long. */
    public static final class MemberRemoved {
        public String name;
        public long incarnation;
    }

    /** Submits a new manifest. */
    public static final class ManifestPut {
        /** The version that the manifest is based on. */
        public long baseVersion;

        public String text;
        /** The number that the sender gave the manifest; 0 takes the next one. */
        public long senderNumber;
        /** The text as submitted, if it differs from {@link #text}; kept to be read back. */
        public String sourceText = "";
    }

    /** Brings a service in line with the manifest. The lists about cells are parallel. */
    public static final class ServiceSync {
        public String service;
        public long manifestVersion;
        public List<String> regions = new ArrayList<>();
        public List<String> cells = new ArrayList<>();
        public List<String> zones = new ArrayList<>();
        public List<String> cellRegions = new ArrayList<>();
        public List<Integer> weights = new ArrayList<>();
        /** Whether a cell's weight is multiplied by the slots of its runners. */
        public boolean weighedBySlots;
        /** The region sets of the routes to this service, each a space-separated list of region names. */
        public List<String> boundRegionSets = new ArrayList<>();
    }

    /** Adds or updates a runner. */
    public static final class RunnerPut {
        public String service;
        public String runner;
        public String address;
        public String cell;
        public int slots;
        public long incarnation;
        public boolean cold;
        /** The number of requests that the runner is running. */
        public int load;
        /** The state as in {@link craneway.state.record.Rows.Runner}: up or leaving. */
        public int state;
        /** How long the runner stays cold, in microseconds; 0 if unknown. */
        public long coldMicros;

        /** How long until the runner goes away, in microseconds; 0 if unknown. */
        public long goneAfterMicros;
        /** Increases with each announcement of a runner; 0 if the runner does not number them. */
        public long sequence;
    }

    /** Marks one incarnation of a runner as leaving or dark. */
    public static final class RunnerMark {
        public String service;
        public String runner;
        public long incarnation;
        public int state;
    }

    /** Marks a runner as leaving in every service that lists it. */
    public static final class RunnerLeft {
        public String runner;
    }

    /** Takes the claim for a request key on behalf of one attempt. */
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

    /** Records the outcome of the attempt that holds a claim. */
    public static final class ClaimFinish {
        public String service;
        public String key;
        public String holder;
        public long incarnation;
        public long attempt;
        public int state;
    }

    /** Advances the age of the part and expires rows. */
    public static final class AgeAdvance {
        /** The time that has passed, in microseconds. */
        public long elapsedMicros;
        /** How long finished claims are kept, in microseconds. */
        public long claimRetentionMicros;
        /** How long a runner that left or went dark is kept, in microseconds; 0 keeps it forever. */
        public long runnerRetentionMicros;
    }

    /**
     * Assigns home cells to some units at once, without a confirmed step: to leave units without a home, or in a core
     * with members too old to support steps.
     */
    public static final class TableStep {
        public String service;
        public long tableVersion;
        /** The units to move. */
        public int[] units;
        /** The number of the new home cell of each unit in {@link #units}. */
        public int[] cells;
    }

    /** Records that the core was rebuilt from one store's log, so that later entries may be lost. */
    public static final class Rebuilt {}

    /** Records that an operator accepts the loss of claims, so that new ones can be taken. */
    public static final class ClaimsAccepted {}

    /** Asks to move some units to another cell. */
    public static final class StepRequest {
        public String service;
        public long tableVersion;
        /** The units to move. */
        public int[] units;
        /** The number of the target cell. */
        public int toCell;
        /** Why the units move, in one word for the step's history. */
        public String cause = "";
    }

    /** Moves a step to its next state. */
    public static final class StepMark {
        public String service;
        public long id;
        public int state;
        public String cause = "";
        /** How long the target cell is held back from further moves if the step is taken back, in microseconds. */
        public long holdBackMicros;

        /** The units to move back if the step is taken back. */
        public int[] units = {};
    }

    /** Sets the cells that units should move to because their own cell is overloaded. */
    public static final class UnitDisplacement {
        public String service;
        public long tableVersion;
        /** The units to displace. */
        public int[] units;
        /**
         * The cell number that each unit in {@link #units} is displaced to; {@link
         * craneway.model.unit.PlacementTable#NOWHERE} clears it.
         */
        public int[] cells;
    }

    /** Sets or clears the mark that empties a zone. */
    public static final class ZoneMark {
        public String zone;
        public boolean emptied;
    }

    /** Stores a proposed plan. */
    public static final class PlanPut {
        public Plan plan;
    }

    /** Confirms a plan. */
    public static final class PlanConfirm {
        public long plan;
    }

    /** Stops a plan. */
    public static final class PlanStop {
        public long plan;
        public String cause;
    }

    /** Takes requests from a tenant's quota for the current minute. */
    public static final class QuotaTake {
        public String service;
        public String tenant;
        public int unit;
        public long tableVersion;
        public String region;
        /** The number of requests asked for; fewer may be granted. */
        public int count;
        /** The requests that the tenant may make in a minute. */
        public int limit;
    }
}
