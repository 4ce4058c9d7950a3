package craneway.control.store;

import craneway.model.unit.Hash;
import craneway.model.unit.Parts;
import craneway.state.message.Messages.Founding;
import java.util.ArrayList;
import java.util.List;

public record Rebuild(String token, int generation, List<String> kept, List<String> mayBeLost) {
    static Rebuild of(Founding founding, PartReplica[] replicas) {
        var hash = founding.coreId;
        var kept = new ArrayList<String>();
        for (var replica : replicas) {
            var group = replica.group();
            hash = Hash.of(hash, Hash.of(group.lastIndex(), group.term()));
            var rows = replica.records().rows();
            kept.add("part " + group.part() + ": " + group.lastIndex() + " entries of term " + group.term() + ", "
                    + rows.claims.size() + " claims, " + rows.quotas.size() + " quotas"
                    + (group.part() == Parts.MANIFEST
                            ? ", manifest " + rows.manifest.version + " and its marks"
                            : ", tables of " + rows.services.keySet()));
        }
        return new Rebuild(
                Long.toHexString(hash),
                founding.generation + 1,
                kept,
                List.of(
                        "whatever the other stores said yes to and this one does not have",
                        "claims of run-once work: none is taken until claimRetentionMs has passed or an operator accepts it (craneway core accept-claims)"));
    }
}
