package craneway.control.store;

import craneway.model.unit.Hash;
import craneway.model.unit.Parts;
import craneway.state.message.Messages.Founding;
import java.util.ArrayList;
import java.util.List;

public record RebuildProposal(String confirmationToken, int generation, List<String> kept, List<String> mayBeLost) {
    static RebuildProposal of(Founding f, PartReplica[] replicas) {
        var h = f.coreId;
        var kept = new ArrayList<String>();
        for (var k : replicas) {
            var g = k.group();
            h = Hash.of(h, Hash.of(g.lastIndex(), g.term()));
            var rows = k.records().rows();
            kept.add("part " + g.part() + ": " + g.lastIndex() + " entries of term " + g.term() + ", "
                    + rows.claims.size() + " claims, " + rows.quotas.size() + " quotas"
                    + (g.part() == Parts.MANIFEST_PART
                            ? ", manifest " + rows.manifest.version + " and its marks"
                            : ", tables of " + rows.services.keySet()));
        }
        return new RebuildProposal(
                Long.toHexString(h),
                f.generation + 1,
                kept,
                List.of(
                        "whatever the other stores said yes to and this one does not have",
                        "claims of run-once work: none is taken until claimRetentionMs has passed or an operator accepts it (craneway core accept-claims)"));
    }
}
