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

public final class RecordSteps {
    private final Records records = new Records();
    private CommandResult last;
    private long index;

    private CommandResult apply(Object command) {
        last = records.apply(++index, Codec.encodeTagged(command));
        return last;
    }

    @Given("a part that holds service {word} with unit {int} at home in {word} at table version {long}")
    public void part(String service, int unit, String region, long version) {
        var m = new Commands.MemberPut();
        m.node = new Node("router-1", Node.ROUTER, "z1", "a", 7);
        apply(m);
        var s = new Commands.ServiceSync();
        s.service = service;
        s.manifestVersion = 1;
        s.regions.addAll(List.of("zagreb", "split"));
        s.cells.addAll(List.of("za", "sp"));
        s.zones.addAll(List.of("z1", "s1"));
        s.cellRegions.addAll(List.of("zagreb", "split"));
        s.weights.addAll(List.of(1, 1));
        apply(s);
        while (records.rows().services.get(service).tableVersion < version) move(service, unit, region);
    }

    @When("the table moves unit {int} of {word} to {word}")
    public void moves(int unit, String service, String region) {
        move(service, unit, region);
    }

    private void move(String service, int unit, String region) {
        var t = new Commands.TableStep();
        t.service = service;
        t.tableVersion = records.rows().services.get(service).tableVersion;
        t.units = new int[] {unit};
        t.cells = new int[] {region.equals("zagreb") ? 0 : 1};
        if (apply(t).kind != 0) throw new AssertionError(last.detail);
    }

    @Then("a claim for unit {int} from {word} at version {long} gets {word}")
    public void claim(int unit, String region, long version, String verdict) {
        var before = records.rows().claims.size();
        var c = new Commands.ClaimTake();
        c.service = "registry";
        c.key = "k" + index;
        c.unit = unit;
        c.tableVersion = version;
        c.region = region;
        c.holder = "router-1";
        c.incarnation = 7;
        c.attempt = index;
        is(apply(c), verdict);
        if (records.rows().claims.size() != before + (last.kind == 0 ? 1 : 0))
            throw new AssertionError("the claim's effect is wrong");
    }

    @Then("a quota share for unit {int} from {word} at version {long} gets {word}")
    public void quota(int unit, String region, long version, String verdict) {
        var q = new Commands.QuotaTake();
        q.service = "registry";
        q.tenant = "t";
        q.unit = unit;
        q.tableVersion = version;
        q.region = region;
        q.count = 1;
        q.limit = 5;
        is(apply(q), verdict);
    }

    private static void is(CommandResult v, String verdict) {
        var got = v.kind == 0 ? "taken" : ProblemKind.of(v.kind).name().toLowerCase();
        if (!got.equals(verdict)) throw new AssertionError("got " + got + " " + v.detail);
    }

    @Then("after a snapshot and a restart the same claims and table are there")
    public void image() {
        var other = new Records();
        other.restoreSnapshot(records.encodeSnapshot());
        var a = records.rows();
        var b = other.rows();
        if (!a.claims.keySet().equals(b.claims.keySet())) throw new AssertionError("claims differ");
        for (var s : a.services.values()) {
            Rows.Service t = b.services.get(s.name);
            if (t.tableVersion != s.tableVersion || !Arrays.equals(t.homeCells, s.homeCells))
                throw new AssertionError("table differs");
        }
    }
}
