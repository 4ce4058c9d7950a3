package craneway.command.load;

import craneway.command.CommandException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Kinds of work with their shares of the load. */
record WorkMix(List<WorkKind> workKinds, int totalShares) {
    /**
     * A kind of work.
     *
     * @param share its weight relative to the other kinds
     * @param runOnce whether it carries an idempotency key
     */
    record WorkKind(String name, int share, boolean runOnce) {}

    /** Parses entries of the form NAME:SHARE[:once]; fails with exit code 2 if one is invalid or all shares are 0. */
    static WorkMix parse(List<String> entries) {
        var kinds = new ArrayList<WorkKind>();
        for (var entry : entries) {
            if (!entry.matches("[A-Za-z0-9._-]+:\\d{1,4}(:once)?"))
                throw new CommandException(2, "--work " + entry + " is not NAME:SHARE[:once]");
            var fields = entry.split(":");
            kinds.add(new WorkKind(fields[0], Integer.parseInt(fields[1]), fields.length == 3));
        }
        var shareSum = kinds.stream().mapToInt(WorkKind::share).sum();
        if (shareSum == 0) throw new CommandException(2, "--work: the shares must not all be 0");
        return new WorkMix(kinds, shareSum);
    }

    /** Selects a kind at random, weighted by the shares. */
    WorkKind selectKind(Random random) {
        var remaining = random.nextInt(totalShares);
        for (var kind : workKinds) {
            remaining -= kind.share;
            if (remaining < 0) return kind;
        }
        return workKinds.get(0);
    }
}
