package craneway.state.record;

import craneway.model.problem.Kind;
import craneway.state.message.Commands;
import craneway.state.message.Messages.CommandResult;

/** Handles the commands about claims, quotas and the age of a part. */
final class ClaimCommands {
    private static final long MINUTE_MICROS = 60_000_000;

    private ClaimCommands() {}

    static CommandResult acceptClaims(Rows.Whole rows) {
        rows.claimsLost = false;
        return Records.ok();
    }

    static CommandResult takeClaim(Rows.Whole rows, Commands.Claim c) {
        var old = rows.claims.get(c.key);
        if (old != null && old.state != Rows.Claim.FREED) return resultForExistingClaim(old, c);
        if (rows.claimsLost) return Records.failure(Kind.CLAIMS_LOST, Kind.CLAIMS_LOST.text());
        if (old != null && isSameAttempt(old, c.holder, c.incarnation, c.attempt))
            return Records.failure(Kind.OUTCOME_UNKNOWN, "this try was given back");
        var may = ServiceCommands.writeRefusal(rows, c.service, c.unit, c.tableVersion, c.region);
        if (may != null) return may;
        var m = rows.members.get(c.holder);
        if (m == null || m.lapsed || m.node.incarnation != c.incarnation)
            return Records.failure(Kind.STALE_MEMBER, c.holder + " holds no lease at incarnation " + c.incarnation);
        var r = newClaim(rows, c.holder, c.incarnation, c.attempt);
        r.unit = c.unit;
        rows.claims.put(c.key, r);
        return Records.ok();
    }

    private static Rows.Claim newClaim(Rows.Whole rows, String holder, long incarnation, long tryNo) {
        var r = new Rows.Claim();
        r.holder = holder;
        r.incarnation = incarnation;
        r.attempt = tryNo;
        r.age = rows.age;
        return r;
    }

    private static boolean isSameAttempt(Rows.Claim r, String holder, long incarnation, long tryNo) {
        return r.holder.equals(holder) && r.incarnation == incarnation && r.attempt == tryNo;
    }

    private static CommandResult resultForExistingClaim(Rows.Claim r, Commands.Claim c) {
        if (r.state == Rows.Claim.OPEN && isSameAttempt(r, c.holder, c.incarnation, c.attempt)) return Records.ok();
        return switch (r.state) {
            case Rows.Claim.OPEN -> Records.failure(Kind.IN_PROGRESS, Kind.IN_PROGRESS.text());
            case Rows.Claim.DONE -> Records.failure(Kind.ALREADY_DONE, Kind.ALREADY_DONE.text());
            default -> Records.failure(Kind.OUTCOME_UNKNOWN, Kind.OUTCOME_UNKNOWN.text());
        };
    }

    static CommandResult finishClaim(Rows.Whole rows, Commands.Finish c) {
        var r = rows.claims.get(c.key);
        if (r == null && c.state == Rows.Claim.FREED) {
            r = newClaim(rows, c.holder, c.incarnation, c.attempt);
            rows.claims.put(c.key, r);
        }
        if (r == null || !isSameAttempt(r, c.holder, c.incarnation, c.attempt))
            return Records.failure(Kind.OUTCOME_UNKNOWN, "no such claim");
        if (r.state == Rows.Claim.OPEN || r.state == Rows.Claim.UNKNOWN) r.state = c.state;
        return Records.ok();
    }

    static CommandResult advanceAge(Rows.Whole rows, Commands.Age c) {
        rows.age += c.micros;
        if (rows.claimsLost && rows.age - rows.lostSince > c.retention) rows.claimsLost = false;
        rows.claims.values().removeIf(r -> r.state != Rows.Claim.OPEN && rows.age - r.age > c.retention);
        rows.quotas.values().removeIf(q -> q.minute < rows.age / MINUTE_MICROS);
        rows.services.values().forEach(s -> s.heldUntil.values().removeIf(t -> t <= rows.age));
        if (c.forgotten > 0)
            rows.services.values().forEach(s -> RunnerCommands.removeExpiredRunners(rows, s, c.forgotten));
        return Records.ok();
    }

    static CommandResult takeQuota(Rows.Whole rows, Commands.QuotaTake c) {
        var may = ServiceCommands.writeRefusal(rows, c.service, c.unit, c.tableVersion, c.region);
        if (may != null) return may;
        var minute = rows.age / MINUTE_MICROS;
        var q = rows.quotas.computeIfAbsent(new QuotaKey(c.service, c.tenant).text(), k -> new Rows.Quota());
        if (q.minute != minute) {
            q.minute = minute;
            q.used = 0;
        }
        var left = (minute + 1) * MINUTE_MICROS - rows.age;
        var n = Math.min(c.count, c.limit - q.used);
        if (n <= 0) {
            var v = Records.failure(
                    Kind.QUOTA_SPENT, "tenant " + c.tenant + " used its " + c.limit + " for this minute");
            v.retryAfter = left;
            return v;
        }
        q.used += n;
        var v = Records.okWithVersion(n);
        v.retryAfter = left;
        return v;
    }
}
