package craneway.sim.model;

import java.util.ArrayList;
import java.util.List;

/**
 * One step of a history: an event and the member slots, the message, the time or the size that it concerns.
 *
 * @param kind what happens
 * @param argument a member slot, 0 for the current leader, or a time in milliseconds
 * @param secondArgument a second slot, a size in bytes or a flag
 * @param label the label of the message that the event concerns, or empty
 */
record Choice(Kind kind, int argument, int secondArgument, String label) {
    /**
     * What may happen. The constants from {@code ROUND} on are for long random histories; the {@link FaultExplorer}
     * also uses {@code CUT}, {@code FREEZE} and {@code THAW}.
     */
    enum Kind {
        /** Advances the clock by the argument in milliseconds. */
        ADVANCE,
        /** Ticks a member. */
        TICK,
        /** Delivers a message. */
        DELIVER,
        /** Delivers a message and keeps it in flight, so that a later choice can deliver it again. */
        REPEAT,
        /** Keeps a message back until it is delivered explicitly. */
        POSTPONE,
        /** Proposes a command; the second argument is the number of additional bytes. */
        PROPOSE,
        /** Ends the process of a member and starts it again. */
        RESTART,
        /** Like {@code RESTART}, with the loss of all unsynced writes. */
        POWER,
        /** Replaces a disk by an empty one with a new member id, if every known membership keeps a majority. */
        LOSE,
        /** Adds the member in the second slot as a learner. */
        LEARN,
        /** Promotes the learner to a voter. */
        PROMOTE,
        /** Removes the voter in the second slot. */
        REMOVE,
        /** Transfers leadership to the second slot. */
        HAND_OVER,
        /**
         * Advances the clock by the argument in milliseconds; running members tick and receive the messages that are
         * due.
         */
        ROUND,
        /** Cuts the link from the first slot to the second. */
        CUT,
        /** Restores all links. */
        HEAL,
        /** Suspends a process. */
        FREEZE,
        /** Resumes a process. */
        THAW,
        /** Ends a process. */
        DOWN,
        /** Starts a process. */
        UP,
        /** Makes a disk reject writes if the second argument is 1, and accept them otherwise. */
        FULL,
        /** Lets the leader perform the next membership change that is needed. */
        MANAGE
    }

    static Choice of(Kind kind, int argument, int secondArgument) {
        return new Choice(kind, argument, secondArgument, "");
    }

    static Choice of(Kind kind, int argument) {
        return of(kind, argument, 0);
    }

    static Choice of(Kind kind, String label) {
        return new Choice(kind, 0, 0, label);
    }

    @Override
    public String toString() {
        return label.isEmpty()
                ? kind + " " + argument + (secondArgument == 0 ? "" : " " + secondArgument)
                : kind + " " + label;
    }

    /** The history as text; consecutive rounds appear as one duration. */
    static String describe(List<Choice> choices) {
        var text = new ArrayList<String>();
        var elapsedMillis = 0;
        for (var choice : choices) {
            if (choice.kind == Kind.ROUND) {
                elapsedMillis += choice.argument;
                continue;
            }
            if (elapsedMillis > 0) text.add("run " + elapsedMillis + " ms");
            elapsedMillis = 0;
            text.add(choice.toString());
        }
        if (elapsedMillis > 0) text.add("run " + elapsedMillis + " ms");
        return String.join(", ", text);
    }
}
