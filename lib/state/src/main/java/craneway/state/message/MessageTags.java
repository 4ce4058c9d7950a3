package craneway.state.message;

import craneway.state.part.PartMessage;

final class MessageTags {
    private static final Class<?>[] TYPES_BY_TAG = {
        PartMessage.class,
        Messages.Hello.class,
        Messages.Renew.class,
        Messages.RenewReply.class,
        Messages.Subscribe.class,
        Messages.News.class,
        Messages.CommandRequest.class,
        Messages.CommandResult.class,
        Messages.Join.class,
        Messages.Founding.class,
        Commands.MemberPut.class,
        Commands.MemberLapsed.class,
        Commands.MemberGone.class,
        Commands.ManifestPut.class,
        Commands.ServiceSync.class,
        Commands.RunnerPut.class,
        Commands.RunnerMark.class,
        Commands.Claim.class,
        Commands.Finish.class,
        Commands.Age.class,
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
        Commands.Displace.class,
        Commands.Rebuilt.class,
        Commands.ClaimsAccepted.class,
        Commands.ZoneMark.class,
        Commands.RunnerLeft.class,
        Messages.Reading.class,
        Messages.Silence.class,
        Messages.Renewals.class,
        Messages.RenewReplies.class,
        Commands.Fenced.class,
    };

    private MessageTags() {}

    static int tagOf(Class<?> c) {
        for (var i = 0; i < TYPES_BY_TAG.length; i++) if (TYPES_BY_TAG[i] == c) return i + 1;
        throw new IllegalArgumentException("no tag for " + c);
    }

    static Class<?> typeOf(int tag) {
        if (tag < 1 || tag > TYPES_BY_TAG.length) throw new BadMessageException("unknown tag " + tag);
        return TYPES_BY_TAG[tag - 1];
    }
}
