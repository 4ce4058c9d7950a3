package craneway.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.state.message.Codec;
import craneway.state.message.Commands;
import craneway.state.message.Messages;
import craneway.state.message.Node;
import craneway.state.message.Plan;
import craneway.state.message.Queries;
import craneway.state.part.LogEntry;
import craneway.state.part.Members;
import craneway.state.part.PartMessage;
import craneway.state.part.Snapshot;
import craneway.state.record.Rows;
import java.lang.reflect.Modifier;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** The formats on the wire and on disk must stay the same when classes or fields are renamed. */
class WireFormatTest {
    /** The tagged messages in the order of their tags, which start at 1; new ones are added at the end. */
    private static final List<Class<?>> TAGGED_TYPES = List.of(
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
            Messages.RenewalReplies.class);

    /**
     * The types of the fields of each class in the order in which they are written; new fields are added at the end.
     */
    private static final Map<Class<?>, String> FIELD_TYPES = Map.ofEntries(
            Map.entry(PartMessage.class, "int,int,long,long,long,long,long,long,long,boolean,List,message,boolean"),
            Map.entry(Messages.Hello.class, "message,boolean,long,message,List,long,long,boolean"),
            Map.entry(Messages.Renewal.class, "int,message,long,boolean,long,List,List,List"),
            Map.entry(Messages.RenewalReply.class, "int,int,long,long,message,long,List,List,List,long"),
            Map.entry(Messages.Subscription.class, "message,String,long"),
            Map.entry(Messages.TopicUpdate.class, "String,long,byte[]"),
            Map.entry(Messages.CommandRequest.class, "long,int,message,byte[]"),
            Map.entry(Messages.CommandResult.class, "long,int,String,long,long,message,byte[]"),
            Map.entry(Messages.Join.class, "int,message"),
            Map.entry(Messages.Founding.class, "long,long[],String[],long,int"),
            Map.entry(Commands.MemberPut.class, "message"),
            Map.entry(Commands.MemberLapsed.class, "String,long"),
            Map.entry(Commands.MemberRemoved.class, "String,long"),
            Map.entry(Commands.ManifestPut.class, "long,String,long,String"),
            Map.entry(Commands.ServiceSync.class, "String,long,List,List,List,List,List,boolean,List"),
            Map.entry(Commands.RunnerPut.class, "String,String,String,String,int,long,boolean,int,int,long,long,long"),
            Map.entry(Commands.RunnerMark.class, "String,String,long,int"),
            Map.entry(Commands.ClaimTake.class, "String,String,int,long,String,String,long,long"),
            Map.entry(Commands.ClaimFinish.class, "String,String,String,long,long,int"),
            Map.entry(Commands.AgeAdvance.class, "long,long,long"),
            Map.entry(Commands.TableStep.class, "String,long,int[],int[]"),
            Map.entry(Commands.PlanPut.class, "message"),
            Map.entry(Commands.PlanConfirm.class, "long"),
            Map.entry(Commands.PlanStop.class, "long,String"),
            Map.entry(Commands.QuotaTake.class, "String,String,int,long,String,int,int"),
            Map.entry(Queries.RolloutGet.class, "long,String"),
            Map.entry(Queries.PlanGet.class, "long"),
            Map.entry(Commands.StepRequest.class, "String,long,int[],int,String"),
            Map.entry(Commands.StepMark.class, "String,long,int,String,long,int[]"),
            Map.entry(Commands.UnitDisplacement.class, "String,long,int[],int[]"),
            Map.entry(Commands.ZoneMark.class, "String,boolean"),
            Map.entry(Commands.RunnerLeft.class, "String"),
            Map.entry(Messages.PrefillNotice.class, "String,int,long[],int[]"),
            Map.entry(Messages.SilenceNotice.class, "String"),
            Map.entry(Messages.Renewals.class, "message,long,boolean,long,List"),
            Map.entry(Messages.RenewalReplies.class, "long,long,long,message,List"),
            Map.entry(Node.class, "String,String,String,String,long,long,long,boolean,long,int,String,boolean"),
            Map.entry(Plan.class, "long,String,int,long,long,long,String,TreeMap,List,List,List"),
            Map.entry(Messages.CellSignal.class, "String,String,long,long,long"),
            Map.entry(LogEntry.class, "long,long,int,byte[]"),
            Map.entry(Snapshot.class, "long,long,message,byte[]"),
            Map.entry(Members.class, "long[],String[],long,String,int"),
            Map.entry(Rows.Member.class, "message,boolean"),
            Map.entry(Rows.Runner.class, "String,String,String,int,long,boolean,int,long,long,long"),
            Map.entry(
                    Rows.Service.class,
                    "String,long,long,long,List,List,List,List,List,boolean,int[],int[],TreeMap,long,List,int[],int[],TreeMap"),
            Map.entry(Rows.Step.class, "long,int,int[],int[],int,String,long,long,long"),
            Map.entry(Rows.Claim.class, "String,long,long,int,int,long"),
            Map.entry(Rows.Quota.class, "long,int"),
            Map.entry(Rows.Manifest.class, "long,long,long,String,String,TreeMap,TreeMap"),
            Map.entry(
                    Rows.PartState.class,
                    "long,long,long,long,TreeMap,message,TreeMap,TreeMap,TreeMap,TreeMap,boolean,long"));

    @Test
    void classesKeepTheirTags() throws ReflectiveOperationException {
        for (var i = 0; i < TAGGED_TYPES.size(); i++) {
            var type = TAGGED_TYPES.get(i);
            var message = type.getDeclaredConstructor().newInstance();
            assertEquals(i + 1, Codec.encodeTagged(message)[0], type.getName());
            assertEquals(type, Codec.decodeTagged(new byte[] {(byte) (i + 1)}).getClass());
        }
    }

    @Test
    void fieldsAreAddedAtTheEndOnly() {
        FIELD_TYPES.forEach((type, expected) -> {
            var actual = fieldTypes(type);
            assertTrue((actual + ",").startsWith(expected + ","), type + " has " + actual);
        });
    }

    private static String fieldTypes(Class<?> type) {
        return Arrays.stream(type.getDeclaredFields())
                .filter(field -> !Modifier.isStatic(field.getModifiers()) && !field.isSynthetic())
                .map(field -> typeName(field.getType()))
                .collect(Collectors.joining(","));
    }

    /** The simple name of a type; classes of the product count as nested messages regardless of their names. */
    private static String typeName(Class<?> type) {
        return type.getName().startsWith("craneway.") ? "message" : type.getSimpleName();
    }
}
