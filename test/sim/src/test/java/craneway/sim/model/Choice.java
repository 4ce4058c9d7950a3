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
        ADVANCE,
        TICK,
        DELIVER,
        REPEAT,
        POSTPONE,
        PROPOSE,
        RESTART,
        POWER,
        LOSE,
        LEARN,
        PROMOTE,
        REMOVE,
        HAND_OVER,
        ROUND,
        CUT,
        HEAL,
        FREEZE,
        THAW,
        DOWN,
        UP,
        FULL,
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
