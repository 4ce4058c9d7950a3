package craneway.state.record;

import craneway.model.problem.ProblemKind;
import craneway.state.message.Commands;
import craneway.state.message.Messages.CommandResult;

/** Handles the commands about claims, quotas and the age of a part. */
final class ClaimCommands {
    private static final long MINUTE = 60_000_000;

    private ClaimCommands() {}

    static CommandResult claimsAccepted(Rows.PartState rows) {
        rows.claimsLost = false;
        return Records.ok();
    }

    static CommandResult claim(Rows.PartState rows, Commands.ClaimTake c) {
        var old = rows.claims.get(c.key);
        if (old != null && old.state != Rows.Claim.RELEASED) return claimed(old, c);
        if (rows.claimsLost) return Records.failure(ProblemKind.CLAIMS_LOST, ProblemKind.CLAIMS_LOST.text());
        if (old != null && sameTry(old, c.holder, c.incarnation, c.attempt))
            return Records.failure(ProblemKind.OUTCOME_UNKNOWN, "this try was given back");
        var may = ServiceCommands.mayWrite(rows, c.service, c.unit, c.tableVersion, c.region);
        if (may != null) return may;
        var m = rows.members.get(c.holder);
        if (m == null || m.lapsed || m.node.incarnation != c.incarnation)
            return Records.failure(
                    ProblemKind.STALE_MEMBER, c.holder + " holds no lease at incarnation " + c.incarnation);
        var r = claimOf(rows, c.holder, c.incarnation, c.attempt);
        r.unit = c.unit;
        rows.claims.put(c.key, r);
        return Records.ok();
    }

    private static Rows.Claim claimOf(Rows.PartState rows, String holder, long incarnation, long tryNo) {
        var r = new Rows.Claim();
        r.holder = holder;
        r.incarnation = incarnation;
        r.attempt = tryNo;
        r.takenAtAge = rows.ageMicros;
        return r;
    }

    private static boolean sameTry(Rows.Claim r, String holder, long incarnation, long tryNo) {
        return r.holder.equals(holder) && r.incarnation == incarnation && r.attempt == tryNo;
    }

    private static CommandResult claimed(Rows.Claim r, Commands.ClaimTake c) {
        if (r.state == Rows.Claim.OPEN && sameTry(r, c.holder, c.incarnation, c.attempt)) return Records.ok();
        return switch (r.state) {
            case Rows.Claim.OPEN -> Records.failure(ProblemKind.IN_PROGRESS, ProblemKind.IN_PROGRESS.text());
            case Rows.Claim.DONE -> Records.failure(ProblemKind.ALREADY_DONE, ProblemKind.ALREADY_DONE.text());
            default -> Records.failure(ProblemKind.OUTCOME_UNKNOWN, ProblemKind.OUTCOME_UNKNOWN.text());
        };
    }

    static CommandResult finish(Rows.PartState rows, Commands.ClaimFinish c) {
        var r = rows.claims.get(c.key);
        if (r == null && c.state == Rows.Claim.RELEASED) {
            r = claimOf(rows, c.holder, c.incarnation, c.attempt);
            rows.claims.put(c.key, r);
        }
        if (r == null || !sameTry(r, c.holder, c.incarnation, c.attempt))
            return Records.failure(ProblemKind.OUTCOME_UNKNOWN, "no such claim");
        if (r.state == Rows.Claim.OPEN || r.state == Rows.Claim.UNKNOWN) r.state = c.state;
        return Records.ok();
    }

    static CommandResult age(Rows.PartState rows, Commands.AgeAdvance c) {
        rows.ageMicros += c.elapsedMicros;
        if (rows.claimsLost && rows.ageMicros - rows.claimsLostAtAge > c.claimRetentionMicros) rows.claimsLost = false;
        rows.claims.values().removeIf(r -> r.state != Rows.Claim.OPEN && rows.ageMicros - r.takenAtAge > c.claimRetentionMicros);
        rows.quotas.values().removeIf(q -> q.minute < rows.ageMicros / MINUTE);
        rows.services.values().forEach(s -> s.heldBackUntilAge.values().removeIf(t -> t <= rows.ageMicros));
        if (c.runnerRetentionMicros > 0) rows.services.values().forEach(s -> RunnerCommands.forget(rows, s, c.runnerRetentionMicros));
        return Records.ok();
    }

    static CommandResult quotaTake(Rows.PartState rows, Commands.QuotaTake c) {
        var may = ServiceCommands.mayWrite(rows, c.service, c.unit, c.tableVersion, c.region);
        if (may != null) return may;
        var minute = rows.ageMicros / MINUTE;
        var q = rows.quotas.computeIfAbsent(new QuotaKey(c.service, c.tenant).text(), k -> new Rows.Quota());
        if (q.minute != minute) {
            q.minute = minute;
            q.used = 0;
        }
        var left = (minute + 1) * MINUTE - rows.ageMicros;
        var n = Math.min(c.count, c.limit - q.used);
        if (n <= 0) {
            var v = Records.failure(
                    ProblemKind.QUOTA_SPENT, "tenant " + c.tenant + " used its " + c.limit + " for this minute");
            v.retryAfterMicros = left;
            return v;
        }
        q.used += n;
        var v = Records.versioned(n);
        v.retryAfterMicros = left;
        return v;
    }
}
