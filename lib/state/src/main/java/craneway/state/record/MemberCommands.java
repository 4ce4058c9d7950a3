package craneway.state.record;

import craneway.model.problem.ProblemKind;
import craneway.state.message.Commands;
import craneway.state.message.Messages.CommandResult;

/**
 * Handles the commands about members: the processes that hold leases, those whose lease has lapsed and those that left.
 */
final class MemberCommands {
    private MemberCommands() {}

    /** Adds or updates a member. The open claims of its earlier incarnations get an unknown outcome. */
    static CommandResult putMember(Rows.PartState rows, Commands.MemberPut command) {
        var existing = rows.members.get(command.node.name);
        if (existing != null && existing.node.incarnation > command.node.incarnation)
            return Records.failure(ProblemKind.STALE_MEMBER, Long.toString(existing.node.incarnation));
        if (existing != null && existing.node.incarnation < command.node.incarnation)
            markOpenClaimsUnknown(rows, command.node.name, command.node.incarnation - 1);
        var member = new Rows.Member();
        member.node = command.node;
        rows.members.put(command.node.name, member);
        rows.membersVersion = rows.lastIndex;
        return Records.ok();
    }

    /** Marks a member as lapsed, or removes it. Its open claims get an unknown outcome. */
    static CommandResult endMembership(Rows.PartState rows, String name, long incarnation, boolean remove) {
        var member = rows.members.get(name);
        if (member == null || member.node.incarnation != incarnation) return Records.ok();
        markOpenClaimsUnknown(rows, name, incarnation);
        member.lapsed = true;
        if (remove) rows.members.remove(name);
        rows.membersVersion = rows.lastIndex;
        return Records.ok();
    }

    private static void markOpenClaimsUnknown(Rows.PartState rows, String holder, long lastIncarnation) {
        for (var claim : rows.claims.values())
            if (claim.state == Rows.Claim.OPEN && claim.holder.equals(holder) && claim.incarnation <= lastIncarnation)
                claim.state = Rows.Claim.UNKNOWN;
    }
}
