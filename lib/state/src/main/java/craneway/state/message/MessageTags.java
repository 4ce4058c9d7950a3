package craneway.state.message;

import craneway.state.part.PartMessage;

/**
 * The tags of the message and command types. A tag is the position in the list, starting at 1; new types are added at
 * the end only.
 */
final class MessageTags {
    private static final Class<?>[] TYPES_BY_TAG = {
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
        Commands.StepRequest.class,
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

    private MessageTags() {}

    /** Returns the tag of a type. */
    static int tagOf(Class<?> type) {
        for (var i = 0; i < TYPES_BY_TAG.length; i++) if (TYPES_BY_TAG[i] == type) return i + 1;
        throw new IllegalArgumentException("no message tag for " + type);
    }

    /** Returns the type of a tag; throws {@link BadMessageException} if the tag is unknown. */
    static Class<?> typeOf(int tag) {
        if (tag < 1 || tag > TYPES_BY_TAG.length) throw new BadMessageException("unknown message tag " + tag);
        return TYPES_BY_TAG[tag - 1];
    }
}
