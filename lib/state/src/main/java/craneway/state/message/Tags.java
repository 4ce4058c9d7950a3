package craneway.state.message;

import craneway.state.part.PartMessage;

final class Tags {
    private static final Class<?>[] TYPES = {
        PartMessage.class,
        Messages.Hello.class,
        Messages.Renewal.class,
        Messages.RenewalReply.class,
        Messages.Subscription.class,
        Messages.TopicUpdate.class,
        Messages.CommandRequest.class,
        Messages.CommandResult.class,
        Messages.Join.class,
        Messages.Founding.class,
        Commands.MemberPut.class,
        Commands.MemberLapsed.class,
        Commands.MemberRemoved.class,
        Commands.ManifestPut.class,
        Commands.ServiceSync.class,
        Commands.RunnerPut.class,
        Commands.RunnerMark.class,
        Commands.ClaimTake.class,
        Commands.ClaimFinish.class,
        Commands.AgeAdvance.class,
        Commands.TableStep.class,
        Commands.PlanPut.class,
        Commands.PlanConfirm.class,
        Commands.PlanStop.class,
        Commands.QuotaTake.class,
        Queries.Status.class,
        Queries.ManifestGet.class,
        Queries.RolloutGet.class,
        Queries.PlanGet.class,
        Commands.StepAsk.class,
        Commands.StepMark.class,
        Commands.UnitDisplacement.class,
        Commands.Rebuilt.class,
        Commands.ClaimsAccepted.class,
        Commands.ZoneMark.class,
        Commands.RunnerLeft.class,
        Messages.PrefillNotice.class,
        Messages.SilenceNotice.class,
        Messages.Renewals.class,
        Messages.RenewalReplies.class,
        Commands.IdentifiedCommand.class,
    };

    private Tags() {}

    static int of(Class<?> c) {
        for (var i = 0; i < TYPES.length; i++) if (TYPES[i] == c) return i + 1;
        throw new IllegalArgumentException("no tag for " + c);
    }

    static Class<?> type(int tag) {
        if (tag < 1 || tag > TYPES.length) throw new BadMessageException("unknown tag " + tag);
        return TYPES[tag - 1];
    }
}
