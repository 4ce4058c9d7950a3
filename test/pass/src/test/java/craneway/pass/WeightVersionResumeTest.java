package craneway.pass;

import static org.junit.jupiter.api.Assertions.assertEquals;

import craneway.state.record.Rows;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** A stream is not joined from runs with different versions of the model weights. */
class WeightVersionResumeTest {
    private static final String LAST_CHUNK = "0\r\n\r\n";

    private static String streamHead(String version) {
        var head = ScriptedRunner.streamResponseHead("t1");
        return version.isEmpty() ? head : head.replace("Stamp:", "Weight-Versions: " + version + "\r\nStamp:");
    }

    private static String event(int id, String version) {
        return (version.isEmpty() ? "" : "weight-versions: " + version + "\n") + "id: " + id + "\ndata: x\n\n";
    }

    /**
     * The first run breaks off after two events, the second of which may name another version; the second run names a
     * version of its own. {@code expectedOnResume} is the version that the request for the second run names.
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
    void runsOfDifferentWeightVersionsAreNotJoined(
            String firstVersion,
            String versionInSecondEvent,
            String secondVersion,
            boolean joined,
            String expectedOnResume)
            throws Exception {
        var runCount = new AtomicInteger();
        var expectedVersions = new CopyOnWriteArrayList<String>();
        ScriptedRunner.Script script = connection -> {
            if (connection.runRequest() == null) return;
            expectedVersions.add(connection.header("Expect-Version"));
            if (runCount.getAndIncrement() == 0) {
                connection.write(
                        streamHead(firstVersion) + ScriptedRunner.chunk(event(1, "") + event(2, versionInSecondEvent)));
                connection.close();
            } else {
                connection.write(streamHead(secondVersion) + ScriptedRunner.chunk(event(3, "")) + LAST_CHUNK);
                connection.awaitPeerClose();
            }
        };
        try (var proxy = new ProxyRig();
                var firstRunner = new ScriptedRunner(script);
                var secondRunner = new ScriptedRunner(script)) {
            proxy.stopClock();
            proxy.putRunner("i1", firstRunner.address(), "a", Rows.Runner.UP);
            proxy.putRunner("i2", secondRunner.address(), "a", Rows.Runner.UP);
            var response = proxy.post("/resume/x", "t1", "");
            var firstEvents = event(1, "") + event(2, versionInSecondEvent);
            assertEquals(joined ? firstEvents + event(3, "") : firstEvents, response.text());
            assertEquals(joined, response.complete());
            assertEquals(List.of("", expectedOnResume), expectedVersions);
        }
    }
}
