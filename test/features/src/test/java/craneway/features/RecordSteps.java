package craneway.features;

import craneway.model.problem.ProblemKind;
import craneway.state.message.Codec;
import craneway.state.message.Commands;
import craneway.state.message.Messages.CommandResult;
import craneway.state.message.Node;
import craneway.state.record.Records;
import craneway.state.record.Rows;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.Arrays;
import java.util.List;

/** Steps that apply commands to the records of one part and check their verdicts. */
public final class RecordSteps {
    private final Records records = new Records();
    private CommandResult lastResult;
    private long logIndex;

    private CommandResult apply(Object command) {
        lastResult = records.apply(++logIndex, Codec.encodeTagged(command));
        return lastResult;
    }

    @Given("a part that holds service {word} with unit {int} at home in {word} at table version {long}")
    public void createPart(String service, int unit, String region, long version) {
        var member = new Commands.MemberPut();
        member.node = new Node("router-1", Node.ROUTER, "z1", "a", 7);
        apply(member);
        var sync = new Commands.ServiceSync();
        sync.service = service;
        sync.manifestVersion = 1;
        sync.regions.addAll(List.of("zagreb", "split"));
        sync.cells.addAll(List.of("za", "sp"));
        sync.zones.addAll(List.of("z1", "s1"));
        sync.cellRegions.addAll(List.of("zagreb", "split"));
        sync.weights.addAll(List.of(1, 1));
        apply(sync);
        while (records.rows().services.get(service).tableVersion < version) applyTableStep(service, unit, region);
    }

    @When("the table moves unit {int} of {word} to {word}")
    public void moveUnit(int unit, String service, String region) {
        applyTableStep(service, unit, region);
    }

    private void applyTableStep(String service, int unit, String region) {
        var step = new Commands.TableStep();
        step.service = service;
        step.tableVersion = records.rows().services.get(service).tableVersion;
        step.units = new int[] {unit};
        step.cells = new int[] {region.equals("zagreb") ? 0 : 1};
        if (apply(step).kind != 0) throw new AssertionError(lastResult.detail);
    }

    @Then("a claim for unit {int} from {word} at version {long} gets {word}")
    public void checkClaim(int unit, String region, long version, String verdict) {
        var claimsBefore = records.rows().claims.size();
        var claim = new Commands.ClaimTake();
        claim.service = "registry";
        claim.key = "k" + logIndex;
        claim.unit = unit;
        claim.tableVersion = version;
        claim.region = region;
        claim.holder = "router-1";
        claim.incarnation = 7;
        claim.attempt = logIndex;
        checkVerdict(apply(claim), verdict);
        if (records.rows().claims.size() != claimsBefore + (lastResult.kind == 0 ? 1 : 0))
            throw new AssertionError("the number of claims is wrong");
    }

    @Then("a quota share for unit {int} from {word} at version {long} gets {word}")
    public void checkQuotaShare(int unit, String region, long version, String verdict) {
        var quota = new Commands.QuotaTake();
        quota.service = "registry";
        quota.tenant = "t";
        quota.unit = unit;
        quota.tableVersion = version;
        quota.region = region;
        quota.count = 1;
        quota.limit = 5;
        checkVerdict(apply(quota), verdict);
    }

    private static void checkVerdict(CommandResult result, String verdict) {
        var actual =
                result.kind == 0 ? "taken" : ProblemKind.of(result.kind).name().toLowerCase();
        if (!actual.equals(verdict)) throw new AssertionError("got " + actual + " " + result.detail);
    }

    @Then("after a snapshot and a restart the same claims and table are there")
    public void checkSnapshotRestore() {
        var restored = new Records();
        restored.restoreSnapshot(records.encodeSnapshot());
        var originalRows = records.rows();
        var restoredRows = restored.rows();
        if (!originalRows.claims.keySet().equals(restoredRows.claims.keySet()))
            throw new AssertionError("claims differ");
        for (var service : originalRows.services.values()) {
            Rows.Service restoredService = restoredRows.services.get(service.name);
            if (restoredService.tableVersion != service.tableVersion
                    || !Arrays.equals(restoredService.homeCells, service.homeCells))
                throw new AssertionError("table differs");
        }
    }
}
