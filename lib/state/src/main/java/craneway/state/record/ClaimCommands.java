package craneway.state.record;

import craneway.model.problem.ProblemKind;
import craneway.state.message.Commands;
import craneway.state.message.Messages.CommandResult;

/** Handles the commands about claims and quotas and the passage of time in a part. */
final class ClaimCommands {
    private static final long MINUTE_MICROS = 60_000_000;

    private ClaimCommands() {}

    /** Lets new claims be taken again after a rebuild that may have lost claims. */
    static CommandResult acceptClaims(Rows.PartState rows) {
        rows.claimsLost = false;
        return Records.ok();
    }

    /** Takes the claim for a request key, which allows the holder to run the request once. */
    static CommandResult takeClaim(Rows.PartState rows, Commands.ClaimTake command) {
        var existing = rows.claims.get(command.key);
        if (existing != null && existing.state != Rows.Claim.RELEASED) return resultForExistingClaim(existing, command);
        if (rows.claimsLost) return Records.failure(ProblemKind.CLAIMS_LOST, ProblemKind.CLAIMS_LOST.text());
        if (existing != null && isSameAttempt(existing, command.holder, command.incarnation, command.attempt))
            return Records.failure(ProblemKind.OUTCOME_UNKNOWN, "this try was given back");
        var refusal =
                ServiceCommands.writeRefusal(rows, command.service, command.unit, command.tableVersion, command.region);
        if (refusal != null) return refusal;
        var member = rows.members.get(command.holder);
        if (member == null || member.lapsed || member.node.incarnation != command.incarnation)
            return Records.failure(
                    ProblemKind.STALE_MEMBER, command.holder + " holds no lease at incarnation " + command.incarnation);
        var claim = newClaim(rows, command.holder, command.incarnation, command.attempt);
        claim.unit = command.unit;
        rows.claims.put(command.key, claim);
        return Records.ok();
    }

    private static Rows.Claim newClaim(Rows.PartState rows, String holder, long incarnation, long attempt) {
        var claim = new Rows.Claim();
        claim.holder = holder;
        claim.incarnation = incarnation;
        claim.attempt = attempt;
        claim.takenAtAge = rows.ageMicros;
        return claim;
    }

    private static boolean isSameAttempt(Rows.Claim claim, String holder, long incarnation, long attempt) {
        return claim.holder.equals(holder) && claim.incarnation == incarnation && claim.attempt == attempt;
    }

    private static CommandResult resultForExistingClaim(Rows.Claim claim, Commands.ClaimTake command) {
        if (claim.state == Rows.Claim.OPEN
                && isSameAttempt(claim, command.holder, command.incarnation, command.attempt)) return Records.ok();
        return switch (claim.state) {
            case Rows.Claim.OPEN -> Records.failure(ProblemKind.IN_PROGRESS, ProblemKind.IN_PROGRESS.text());
            case Rows.Claim.DONE -> Records.failure(ProblemKind.ALREADY_DONE, ProblemKind.ALREADY_DONE.text());
            default -> Records.failure(ProblemKind.OUTCOME_UNKNOWN, ProblemKind.OUTCOME_UNKNOWN.text());
        };
    }

    /** Records the outcome of the attempt that holds a claim. */
    static CommandResult finishClaim(Rows.PartState rows, Commands.ClaimFinish command) {
        var claim = rows.claims.get(command.key);
        if (claim == null && command.state == Rows.Claim.RELEASED) {
            claim = newClaim(rows, command.holder, command.incarnation, command.attempt);
            rows.claims.put(command.key, claim);
        }
        if (claim == null || !isSameAttempt(claim, command.holder, command.incarnation, command.attempt))
            return Records.failure(ProblemKind.OUTCOME_UNKNOWN, "no such claim");
        if (claim.state == Rows.Claim.OPEN || claim.state == Rows.Claim.UNKNOWN) claim.state = command.state;
        return Records.ok();
    }

    /** Advances the age of the part and removes the rows that have expired. */
    static CommandResult advanceAge(Rows.PartState rows, Commands.AgeAdvance command) {
        rows.ageMicros += command.elapsedMicros;
        if (rows.claimsLost && rows.ageMicros - rows.claimsLostAtAge > command.claimRetentionMicros)
            rows.claimsLost = false;
        rows.claims
                .values()
                .removeIf(claim -> claim.state != Rows.Claim.OPEN
                        && rows.ageMicros - claim.takenAtAge > command.claimRetentionMicros);
        rows.quotas.values().removeIf(quota -> quota.minute < rows.ageMicros / MINUTE_MICROS);
        rows.services.values().forEach(service -> service.heldBackUntilAge
                .values()
                .removeIf(heldUntil -> heldUntil <= rows.ageMicros));
        if (command.runnerRetentionMicros > 0)
            rows.services
                    .values()
                    .forEach(service ->
                            RunnerCommands.removeExpiredRunners(rows, service, command.runnerRetentionMicros));
        return Records.ok();
    }

    /** Takes requests from a tenant's quota for the current minute. The result's version is the number granted. */
    static CommandResult takeQuota(Rows.PartState rows, Commands.QuotaTake command) {
        var refusal =
                ServiceCommands.writeRefusal(rows, command.service, command.unit, command.tableVersion, command.region);
        if (refusal != null) return refusal;
        var minute = rows.ageMicros / MINUTE_MICROS;
        var quota = rows.quotas.computeIfAbsent(
                new QuotaKey(command.service, command.tenant).text(), key -> new Rows.Quota());
        if (quota.minute != minute) {
            quota.minute = minute;
            quota.used = 0;
        }
        var untilNextMinute = (minute + 1) * MINUTE_MICROS - rows.ageMicros;
        var granted = Math.min(command.count, command.limit - quota.used);
        if (granted <= 0) {
            var result = Records.failure(
                    ProblemKind.QUOTA_SPENT,
                    "tenant " + command.tenant + " used its " + command.limit + " for this minute");
            result.retryAfterMicros = untilNextMinute;
            return result;
        }
        quota.used += granted;
        var result = Records.okWithVersion(granted);
        result.retryAfterMicros = untilNextMinute;
        return result;
    }
}
