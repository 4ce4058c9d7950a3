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

/** Streams of random events in random pieces, broken off at random bytes and gone on with. */
class StreamRelayTest {
    private static final HttpString VERSIONS = new HttpString("Weight-Versions");
    private static final int SEEDS = 500;
    private static final int MOST_EVENTS = 30;
    private static final int MOST_PIECE = 40;

    private record Stream(List<String> events, List<Long> ids) {
        static Stream random(Random random) {
            var events = new ArrayList<String>();
            var ids = new ArrayList<Long>();
            var lineEnd = random.nextBoolean() ? "\n" : "\r\n";
            var step = 1 + random.nextInt(3);
            for (var i = 0; i < 1 + random.nextInt(MOST_EVENTS); i++) {
                var id = (long) i * step;
                ids.add(id);
                events.add((random.nextInt(5) == 0 ? "weight-versions: 3" + lineEnd : "") + "id: " + id + lineEnd
                        + "data: id: 7 of " + id + lineEnd + lineEnd);
            }
            return new Stream(events, ids);
        }

        String after(String lastId) {
            var from = lastId == null ? 0 : ids.indexOf(Long.parseLong(lastId)) + 1;
            return String.join("", events.subList(from, events.size()));
        }

        String whole() {
            return String.join("", events);
        }
    }

    private static boolean feed(StreamRelay relay, byte[] bytes, Random random, ByteArrayOutputStream out) {
        for (var at = 0; at < bytes.length; ) {
            var n = Math.min(bytes.length - at, 1 + random.nextInt(MOST_PIECE));
            var whole = relay.take(ByteBuffer.wrap(bytes, at, n));
            if (!relay.follows()) return false;
            if (whole != null) out.write(whole.array(), whole.arrayOffset() + whole.position(), whole.remaining());
            at += n;
        }
        return true;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 5})
    void whateverBreaksOffWhereTheClientGetsTheStreamOnce(int breaks) {
        for (var seed = 0; seed < SEEDS; seed++) {
            var random = new Random(seed);
            var stream = Stream.random(random);
            var relay = new StreamRelay(null, VERSIONS);
            var out = new ByteArrayOutputStream();
            for (var i = 0; i < breaks; i++) {
                var run = stream.after(relay.lastId()).getBytes(StandardCharsets.UTF_8);
                assertTrue(feed(relay, java.util.Arrays.copyOf(run, random.nextInt(run.length + 1)), random, out));
                relay.resume();
            }
            assertTrue(feed(relay, stream.after(relay.lastId()).getBytes(StandardCharsets.UTF_8), random, out));
            assertTrue(relay.mayEnd());
            assertEquals(stream.whole(), out.toString(StandardCharsets.UTF_8), "seed " + seed);
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {-2, -1, 1, 2})
    void aRunThatGoesOnElsewhereThanAfterTheLastEventIsFound(int shift) {
        for (var seed = 0; seed < SEEDS; seed++) {
            var random = new Random(seed);
            var stream = Stream.random(random);
            var passed = 2 + random.nextInt(MOST_EVENTS);
            if (passed + Math.max(0, shift) >= stream.events.size()) continue;
            var relay = new StreamRelay(null, VERSIONS);
            var out = new ByteArrayOutputStream();
            var first = String.join("", stream.events.subList(0, passed));
            assertTrue(feed(relay, first.getBytes(StandardCharsets.UTF_8), random, out));
            relay.resume();
            var second = String.join("", stream.events.subList(passed + shift, stream.events.size()));
            assertFalse(feed(relay, second.getBytes(StandardCharsets.UTF_8), random, out), "seed " + seed);
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
    void saysWhetherAnotherRunMayGoOnAndWhetherThisOneMayEnd(String text, boolean resumable, boolean mayEnd) {
        var relay = new StreamRelay(null, VERSIONS);
        relay.take(ByteBuffer.wrap(text.replace('|', '\n').getBytes(StandardCharsets.UTF_8)));
        assertEquals(resumable, relay.resumable());
        assertEquals(mayEnd, relay.mayEnd());
    }

    @ParameterizedTest
    @ValueSource(strings = {"no number", "", "-1", "99999999999999999999", "٣"})
    void aLastEventIdThatIsNoNumberIsHeldAgainstItselfOnly(String after) {
        var relay = new StreamRelay(after, VERSIONS);
        relay.take(ByteBuffer.wrap("id: 1\ndata: a\n\n".getBytes(StandardCharsets.UTF_8)));
        assertTrue(relay.follows());
    }
}
