package craneway.pass;

import static org.junit.jupiter.api.Assertions.assertEquals;

import craneway.state.message.Plan;
import craneway.state.record.Rows;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Runners to which the proxy may send: those in the route's regions that neither leave nor are in an emptied zone. */
class RunnerEligibilityTest {
    private ProxyFixture fixture;

    @BeforeEach
    void openFixture() throws Exception {
        fixture = new ProxyFixture();
    }

    @AfterEach
    void closeFixture() {
        fixture.close();
    }

    @Test
    void routeRegionsBindEvenWithoutAvailableRunners() throws Exception {
        try (var runner = new FakeRunner(request -> request.respondOk("a"));
                var otherRunner = new FakeRunner(request -> request.respondOk("b"))) {
            fixture.putRunner("i1", runner, "a");
            fixture.putRunner("i2", otherRunner, "b");
            assertEquals("b", fixture.post("/home/x", "t", "").text());
            fixture.putRunner("i2", otherRunner.address(), "b", Rows.Runner.LEAVING);
            assertEquals(503, fixture.post("/home/x", "t2", "").status());
            assertEquals(0, runner.receivedRequests.size());
        }
    }

    @Test
    void emptiedZoneAndLeavingRunnerGetNoRequests() throws Exception {
        try (var runner = new FakeRunner(request -> request.respondOk("a"));
                var otherRunner = new FakeRunner(request -> request.respondOk("b"))) {
            fixture.putRunner("i1", runner, "a");
            fixture.putRunner("i2", otherRunner, "b");
            assertEquals("a", fixture.post("/once/x", "t", "").text());
            fixture.markZone("a", Plan.EMPTIED);
            assertEquals("b", fixture.post("/once/x", "t", "").text());
            fixture.markZone("a", "");
            fixture.putRunner("i1", runner.address(), "a", Rows.Runner.LEAVING);
            assertEquals("b", fixture.post("/once/x", "t", "").text());
            assertEquals(1, runner.receivedRequests.size());
        }
    }
}
