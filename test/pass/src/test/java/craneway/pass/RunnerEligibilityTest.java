package craneway.pass;

import static org.junit.jupiter.api.Assertions.assertEquals;

import craneway.state.message.Plan;
import craneway.state.record.Rows;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Runners to which the proxy may send: those in the route's regions that neither leave nor are in an emptied zone. */
class RunnerEligibilityTest {
    private ProxyRig proxy;

    @BeforeEach
    void openProxy() throws Exception {
        proxy = new ProxyRig();
    }

    @AfterEach
    void closeProxy() {
        proxy.close();
    }

    @Test
    void routeRegionsBindEvenWithoutAvailableRunners() throws Exception {
        try (var runner = new FakeRunner(request -> request.respondOk("a"));
                var otherRunner = new FakeRunner(request -> request.respondOk("b"))) {
            proxy.putRunner("i1", runner, "a");
            proxy.putRunner("i2", otherRunner, "b");
            assertEquals("b", proxy.post("/home/x", "t", "").text());
            proxy.putRunner("i2", otherRunner.address(), "b", Rows.Runner.LEAVING);
            assertEquals(503, proxy.post("/home/x", "t2", "").status());
            assertEquals(0, runner.receivedRequests.size());
        }
    }

    @Test
    void emptiedZoneAndLeavingRunnerGetNoRequests() throws Exception {
        try (var runner = new FakeRunner(request -> request.respondOk("a"));
                var otherRunner = new FakeRunner(request -> request.respondOk("b"))) {
            proxy.putRunner("i1", runner, "a");
            proxy.putRunner("i2", otherRunner, "b");
            assertEquals("a", proxy.post("/once/x", "t", "").text());
            proxy.markZone("a", Plan.EMPTIED);
            assertEquals("b", proxy.post("/once/x", "t", "").text());
            proxy.markZone("a", "");
            proxy.putRunner("i1", runner.address(), "a", Rows.Runner.LEAVING);
            assertEquals("b", proxy.post("/once/x", "t", "").text());
            assertEquals(1, runner.receivedRequests.size());
        }
    }
}
