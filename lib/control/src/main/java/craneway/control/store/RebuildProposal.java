package craneway.control.store;

import craneway.model.unit.Hash;
import craneway.model.unit.Parts;
import craneway.state.message.Messages.Founding;
import java.util.ArrayList;
import java.util.List;

/**
 * A proposal to rebuild the core from one store's data, as shown to the operator who confirms it.
 *
 * @param confirmationToken identifies the state that was shown; to be sent back to confirm the rebuild
 * @param generation the generation that the rebuilt core will have
 * @param kept what this store holds, one line for each part
 * @param mayBeLost what may be lost
 */
public record RebuildProposal(String confirmationToken, int generation, List<String> kept, List<String> mayBeLost) {
    /** The proposal for the current state of the replicas. */
    static RebuildProposal of(Founding founding, PartReplica[] replicas) {
        var hash = founding.coreId;
        var kept = new ArrayList<String>();
        for (var replica : replicas) {
            var group = replica.group();
            hash = Hash.of(hash, Hash.of(group.lastIndex(), group.term()));
            var rows = replica.records().rows();
            kept.add("part " + group.part() + ": " + group.lastIndex() + " entries of term " + group.term() + ", "
                    + rows.claims.size() + " claims, " + rows.quotas.size() + " quotas"
                    + (group.part() == Parts.MANIFEST_PART
                            ? ", manifest " + rows.manifest.version + " and its marks"
                            : ", tables of " + rows.services.keySet()));
        }
        return new RebuildProposal(
                Long.toHexString(hash),
                founding.generation + 1,
                kept,
                List.of(
                        "writes that other stores acknowledged and this store does not hold",
                        "claims of run-once work: new claims are declined until claimRetentionMs has passed or an operator accepts the loss (craneway core accept-claims)"));
    }
}
