package craneway.pass;

import static org.junit.jupiter.api.Assertions.assertEquals;

import craneway.state.message.Plan;
import craneway.state.record.Rows;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Where the request path may send: homes, emptied zones, runners that leave. */
class AllowedRunnerTest {
    private Bed bed;

    @BeforeEach
    void up() throws Exception {
        bed = new Bed();
    }

    @AfterEach
    void down() {
        bed.close();
    }

    @Test
    void homesBindEvenWhenTheyAreGone() throws Exception {
        try (var r = new FakeRunner(x -> x.ok("a"));
                var o = new FakeRunner(x -> x.ok("b"))) {
            bed.runner("i1", r, "a");
            bed.runner("i2", o, "b");
            assertEquals("b", bed.ask("/home/x", "t", "").text());
            bed.runner("i2", o.address(), "b", Rows.Runner.LEAVING);
            assertEquals(503, bed.ask("/home/x", "t2", "").status());
            assertEquals(0, r.seen.size());
        }
    }

    @Test
    void nothingGoesToAnEmptiedZoneOrALeavingRunner() throws Exception {
        try (var r = new FakeRunner(x -> x.ok("a"));
                var o = new FakeRunner(x -> x.ok("b"))) {
            bed.runner("i1", r, "a");
            bed.runner("i2", o, "b");
            assertEquals("a", bed.ask("/once/x", "t", "").text());
            bed.mark("a", Plan.EMPTIED);
            assertEquals("b", bed.ask("/once/x", "t", "").text());
            bed.mark("a", "");
            bed.runner("i1", r.address(), "a", Rows.Runner.LEAVING);
            assertEquals("b", bed.ask("/once/x", "t", "").text());
            assertEquals(1, r.seen.size());
        }
    }
}
