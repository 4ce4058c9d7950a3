package craneway.gateway.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Relays streams of random events in random pieces, which break off at random bytes and are continued by another run.
 */
class StreamRelayTest {
    private static final HttpString VERSION_HEADER = new HttpString("Weight-Versions");
    private static final int SEED_COUNT = 500;
    private static final int MAX_EVENTS = 30;
    private static final int MAX_PIECE_BYTES = 40;

    private record Stream(List<String> events, List<Long> ids) {
        static Stream random(Random random) {
            var events = new ArrayList<String>();
            var ids = new ArrayList<Long>();
            var lineEnd = random.nextBoolean() ? "\n" : "\r\n";
            var idStep = 1 + random.nextInt(3);
            for (var i = 0; i < 1 + random.nextInt(MAX_EVENTS); i++) {
                var id = (long) i * idStep;
                ids.add(id);
                events.add((random.nextInt(5) == 0 ? "weight-versions: 3" + lineEnd : "") + "id: " + id + lineEnd
                        + "data: id: 7 of " + id + lineEnd + lineEnd);
            }
            return new Stream(events, ids);
        }

        String textAfter(String lastEventId) {
            var from = lastEventId == null ? 0 : ids.indexOf(Long.parseLong(lastEventId)) + 1;
            return String.join("", events.subList(from, events.size()));
        }

        String text() {
            return String.join("", events);
        }
    }

    /** Relays the bytes in random pieces to the output; returns false once the relay finds them out of sequence. */
    private static boolean relayPieces(StreamRelay relay, byte[] bytes, Random random, ByteArrayOutputStream output) {
        for (var offset = 0; offset < bytes.length; ) {
            var pieceLength = Math.min(bytes.length - offset, 1 + random.nextInt(MAX_PIECE_BYTES));
            var events = relay.addBytes(ByteBuffer.wrap(bytes, offset, pieceLength));
            if (!relay.isInSequence()) return false;
            if (events != null)
                output.write(events.array(), events.arrayOffset() + events.position(), events.remaining());
            offset += pieceLength;
        }
        return true;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 5})
    void clientGetsEachEventOnceWhereverRunsBreakOff(int breakCount) {
        for (var seed = 0; seed < SEED_COUNT; seed++) {
            var random = new Random(seed);
            var stream = Stream.random(random);
            var relay = new StreamRelay(null, VERSION_HEADER);
            var output = new ByteArrayOutputStream();
            for (var i = 0; i < breakCount; i++) {
                var run = stream.textAfter(relay.lastEventId()).getBytes(StandardCharsets.UTF_8);
                assertTrue(relayPieces(
                        relay, java.util.Arrays.copyOf(run, random.nextInt(run.length + 1)), random, output));
                relay.resume();
            }
            assertTrue(relayPieces(
                    relay, stream.textAfter(relay.lastEventId()).getBytes(StandardCharsets.UTF_8), random, output));
            assertTrue(relay.mayEnd());
            assertEquals(stream.text(), output.toString(StandardCharsets.UTF_8), "seed " + seed);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {-2, -1, 1, 2})
    void detectsARunThatContinuesAtTheWrongEvent(int shift) {
        for (var seed = 0; seed < SEED_COUNT; seed++) {
            var random = new Random(seed);
            var stream = Stream.random(random);
            var relayedEvents = 2 + random.nextInt(MAX_EVENTS);
            if (relayedEvents + Math.max(0, shift) >= stream.events.size()) continue;
            var relay = new StreamRelay(null, VERSION_HEADER);
            var output = new ByteArrayOutputStream();
            var first = String.join("", stream.events.subList(0, relayedEvents));
            assertTrue(relayPieces(relay, first.getBytes(StandardCharsets.UTF_8), random, output));
            relay.resume();
            var second = String.join("", stream.events.subList(relayedEvents + shift, stream.events.size()));
            assertFalse(relayPieces(relay, second.getBytes(StandardCharsets.UTF_8), random, output), "seed " + seed);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "'id: 1|data: a||',true,true",
        "'id: 1|data: a||id: 2',true,false",
        "'id: 1|data: a||data: b||',false,true",
        "': note||',false,false",
        "'id: x|data: a||',true,true",
        "'',false,false"
    })
    void reportsWhetherTheStreamIsResumableAndMayEnd(String text, boolean resumable, boolean mayEnd) {
        var relay = new StreamRelay(null, VERSION_HEADER);
        relay.addBytes(ByteBuffer.wrap(text.replace('|', '\n').getBytes(StandardCharsets.UTF_8)));
        assertEquals(resumable, relay.isResumable());
        assertEquals(mayEnd, relay.mayEnd());
    }

    @ParameterizedTest
    @ValueSource(strings = {"no number", "", "-1", "99999999999999999999", "٣"})
    void lastEventIdThatIsNotANumberIsOnlyComparedForEquality(String lastEventId) {
        var relay = new StreamRelay(lastEventId, VERSION_HEADER);
        relay.addBytes(ByteBuffer.wrap("id: 1\ndata: a\n\n".getBytes(StandardCharsets.UTF_8)));
        assertTrue(relay.isInSequence());
    }
}
