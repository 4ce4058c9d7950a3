package craneway.state.record;

import craneway.model.problem.ProblemKind;
import craneway.state.message.Commands;
import craneway.state.message.Messages.CommandResult;

/** Handles the commands about members: who takes part, who lapsed and who left. */
final class MemberCommands {
    private MemberCommands() {}

    static CommandResult memberPut(Rows.PartState rows, Commands.MemberPut c) {
        var old = rows.members.get(c.node.name);
        if (old != null && old.node.incarnation > c.node.incarnation)
            return Records.failure(ProblemKind.STALE_MEMBER, Long.toString(old.node.incarnation));
        if (old != null && old.node.incarnation < c.node.incarnation)
            abandon(rows, c.node.name, c.node.incarnation - 1);
        var m = new Rows.Member();
        m.node = c.node;
        rows.members.put(c.node.name, m);
        rows.membersVersion = rows.lastIndex;
        return Records.ok();
    }

    static CommandResult memberOut(Rows.PartState rows, String name, long incarnation, boolean gone) {
        var m = rows.members.get(name);
        if (m == null || m.node.incarnation != incarnation) return Records.ok();
        abandon(rows, name, incarnation);
        m.lapsed = true;
        if (gone) rows.members.remove(name);
        rows.membersVersion = rows.lastIndex;
        return Records.ok();
    }

    private static void abandon(Rows.PartState rows, String holder, long upTo) {
        for (var c : rows.claims.values())
            if (c.state == Rows.Claim.OPEN && c.holder.equals(holder) && c.incarnation <= upTo)
                c.state = Rows.Claim.UNKNOWN;
    }
}
