package craneway.pass;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.state.record.Rows;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * An exception that nobody foresaw, while a runner's bytes are passed on: the piece that was in hand is lost, so that the
 * answer must end visibly then, and neither go on behind it nor promise anything.
 */
class InternalFaultTest {
    private static final String FIRST = "id: 1\ndata: a\n\n";
    private static final String SECOND = "id: 2\ndata: b\n\n";
    private static final String THIRD = "id: 3\ndata: c\n\n";

    private static String head(boolean framed) {
        var head = ScriptedRunner.streamHead("t1");
        return framed ? head : head.replace("Transfer-Encoding: chunked", "Connection: close");
    }

    /** The fault comes with the second piece, the third, or the end of the answer. */
    @ParameterizedTest
    @CsvSource({
        "/stream/x,true,0", "/stream/x,true,1", "/stream/x,true,2", "/resume/x,true,0", "/resume/x,true,1",
        "/resume/x,true,2", "/once/x,true,0", "/stream/x,false,0", "/stream/x,false,1", "/resume/x,false,0",
        "/resume/x,false,1", "/once/x,false,0"
    })
    void aPieceIsNeverLeftOut(String path, boolean framed, int piece) throws Exception {
        var firstArrived = new CountDownLatch(1);
        var fault = new PlannedFault("craneway.gateway.proxy.RunnerCall", piece);
        ScriptedRunner.Script script = c -> {
            if (c.run() == null) return;
            c.write(head(framed) + (framed ? ScriptedRunner.chunk(FIRST) : FIRST));
            firstArrived.await();
            c.write(framed ? ScriptedRunner.chunk(SECOND) : SECOND);
            if (piece == 0) fault.awaitThrown();
            c.write(framed ? ScriptedRunner.chunk(THIRD) + "0\r\n\r\n" : THIRD);
            if (framed) c.untilClosed();
            else c.close();
        };
        try (var bed = new Bed();
                var one = new ScriptedRunner(script);
                var client = bed.connect()) {
            bed.runner("i1", one.address(), "a", Rows.Runner.UP);
            Bed.send(client, path, "t1", "", "");
            var planted = new PlantAt(client.getInputStream(), FIRST, () -> {
                bed.plan(fault);
                firstArrived.countDown();
            });
            var answer = Bed.answer(planted);
            fault.awaitThrown();
            assertTrue((FIRST + SECOND + THIRD).startsWith(answer.text()), answer.text());
            assertFalse(answer.whole() && !answer.text().equals(FIRST + SECOND + THIRD), answer.text());
        }
    }

    /** The same before any byte of the answer has gone to the client: it gets a failure that promises nothing. */
    @ParameterizedTest
    @CsvSource({"/stream/x", "/once/x"})
    void aFaultBeforeTheAnswerPromisesNothing(String path) throws Exception {
        ScriptedRunner.Script script = c -> {
            if (c.run() == null) return;
            c.write(ScriptedRunner.success("t1"));
            c.untilClosed();
        };
        try (var bed = new Bed();
                var one = new ScriptedRunner(script)) {
            bed.plan(new PlannedFault("craneway.gateway.proxy.ResponseReader", 0));
            bed.runner("i1", one.address(), "a", Rows.Runner.UP);
            assertEquals(502, bed.ask(path, "t1", "").status());
        }
    }
}
