package craneway.pass;

import static org.junit.jupiter.api.Assertions.assertEquals;

import craneway.state.record.Rows;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A stream is not joined from runs of two versions of the weights. */
class WeightVersionTest {
    private static final String END = "0\r\n\r\n";

    private static String head(String version) {
        var head = ScriptedRunner.streamHead("t1");
        return version.isEmpty() ? head : head.replace("Stamp:", "Weight-Versions: " + version + "\r\nStamp:");
    }

    private static String event(int id, String version) {
        return (version.isEmpty() ? "" : "weight-versions: " + version + "\n") + "id: " + id + "\ndata: x\n\n";
    }

    /**
     * The first run breaks off behind two events, the second of which may bring another version; the second run answers with
     * its own.
     */
    @ParameterizedTest
    @CsvSource(
            nullValues = "-",
            value = {
                "4,'',4,true,4",
                "4,'',5,false,4",
                "4,'',3,false,4",
                "4,5,5,true,5",
                "4,5,4,false,5",
                "'','','',true,''",
                "'','',7,true,''",
                "'',5,5,true,5",
                "4,'','',true,4",
                "many,'','',true,''"
            })
    void runsOfTwoVersionsAreNotJoined(
            String first, String withSecondEvent, String second, boolean joined, String expected) throws Exception {
        var number = new AtomicInteger();
        var asked = new CopyOnWriteArrayList<String>();
        ScriptedRunner.Script script = c -> {
            if (c.run() == null) return;
            asked.add(c.header("Expect-Version"));
            if (number.getAndIncrement() == 0) {
                c.write(head(first) + ScriptedRunner.chunk(event(1, "") + event(2, withSecondEvent)));
                c.close();
            } else {
                c.write(head(second) + ScriptedRunner.chunk(event(3, "")) + END);
                c.untilClosed();
            }
        };
        try (var bed = new Bed();
                var one = new ScriptedRunner(script);
                var two = new ScriptedRunner(script)) {
            bed.stopClock();
            bed.runner("i1", one.address(), "a", Rows.Runner.UP);
            bed.runner("i2", two.address(), "a", Rows.Runner.UP);
            var answer = bed.ask("/resume/x", "t1", "");
            var begun = event(1, "") + event(2, withSecondEvent);
            assertEquals(joined ? begun + event(3, "") : begun, answer.text());
            assertEquals(joined, answer.whole());
            assertEquals(List.of("", expected), asked);
        }
    }
}
