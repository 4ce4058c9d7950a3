package craneway.state.disk;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import craneway.state.message.Codec;
import craneway.state.part.Snapshot;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.function.IntUnaryOperator;
import java.util.zip.CRC32C;
import org.junit.jupiter.api.Test;

/** Checks that folders of format 1, whose segments have no header, are read and rewritten in the current format. */
class LegacyFormatTest {
    private static final int SEGMENT_BASE = 1;
    private static final int TERM_AND_VOTE = 2;
    private static final int ENTRY = 3;
    private static final int TRUNCATION = 4;
    private static final int CORE_HASH = 7;

    /** Encodes a record as written up to commit 713c2f2: size, checksum, type, index, term, kind, body. */
    private static byte[] record(int type, long index, long term, int kind, byte[] body) {
        var buffer = ByteBuffer.allocate(29 + body.length);
        buffer.putInt(buffer.capacity())
                .putInt(0)
                .put((byte) type)
                .putLong(index)
                .putLong(term);
        buffer.putInt(kind).put(body);
        var crc = new CRC32C();
        crc.update(buffer.array(), 8, buffer.capacity() - 8);
        return buffer.putInt(4, (int) crc.getValue()).array();
    }

    private static byte[] body(int index) {
        var body = new byte[index * 3];
        Arrays.fill(body, (byte) index);
        return body;
    }

    private static byte[] mark(int segment, long length) {
        return record(
                SEGMENT_BASE,
                0,
                0,
                0,
                ByteBuffer.allocate(12).putInt(segment).putLong(length).array());
    }

    private static byte[] join(byte[]... parts) {
        var joined = new ByteArrayOutputStream();
        for (var part : parts) joined.writeBytes(part);
        return joined.toByteArray();
    }

    private static byte[] snapshot(long index, long term) {
        var snapshot = new Snapshot();
        snapshot.index = index;
        snapshot.term = term;
        snapshot.body = new byte[] {1, 2, 3};
        return record(SEGMENT_BASE, 0, 0, 0, Codec.encode(snapshot));
    }

    /**
     * Returns a folder with a snapshot up to index 4, the entries 5 to 7 (6 was truncated and written again), and a
     * vote for store 3 in term 3.
     */
    private static PowerLossFolder legacyFolder() {
        var folder = new PowerLossFolder();
        folder.putDurably("p0.image.4", snapshot(4, 1));
        var segment = join(
                record(SEGMENT_BASE, 4, 1, CORE_HASH, new byte[0]),
                record(TERM_AND_VOTE, 1, 2, 0, new byte[0]),
                record(ENTRY, 5, 2, 1, body(5)),
                record(ENTRY, 6, 2, 1, body(6)),
                record(TRUNCATION, 6, 0, 0, new byte[0]),
                record(TERM_AND_VOTE, 3, 3, 0, new byte[0]),
                record(ENTRY, 6, 3, 2, body(7)),
                record(ENTRY, 7, 3, 1, body(8)));
        folder.putDurably("p0.log.9", segment);
        folder.putDurably("p0.mark", mark(9, segment.length));
        return folder;
    }

    private static void assertReadsEverything(PowerLossFolder folder) {
        var log = new SegmentLog(folder, "p0.", CORE_HASH);
        assertEquals(3, log.currentTerm());
        assertEquals(3, log.votedFor());
        assertEquals(4, log.snapshot().index);
        assertArrayEquals(new byte[] {1, 2, 3}, log.snapshot().body);
        assertEquals(7, log.lastIndex());
        assertEquals(2, log.termAt(5));
        assertEquals(3, log.termAt(6));
        assertEquals(2, log.entryAt(6).type);
        assertArrayEquals(body(5), log.entryAt(5).body);
        assertArrayEquals(body(8), log.entryAt(7).body);
    }

    private static PowerLossFolder withChangedSegment(IntUnaryOperator length, byte[] mark, byte[]... appended) {
        var folder = legacyFolder();
        var segment = folder.read("p0.log.9");
        folder.putDurably("p0.log.9", join(Arrays.copyOf(segment, length.applyAsInt(segment.length)), join(appended)));
        if (mark == null) folder.delete("p0.mark");
        else folder.putDurably("p0.mark", mark);
        return folder;
    }

    @Test
    void folderIsReadAndRewrittenInCurrentFormat() {
        var folder = legacyFolder();
        assertReadsEverything(folder);
        assertEquals(java.util.List.of("p0.image.4", "p0.log.10", "p0.mark"), folder.fileNames());
        assertEquals(SegmentHeader.CURRENT_FORMAT, SegmentHeader.formatOf("p0.log.10", folder.read("p0.log.10")));
        assertReadsEverything(folder);
    }

    @Test
    void crashDuringFirstStartLosesNothing() {
        for (var step = 0; ; step++) {
            var folder = legacyFolder();
            var crashStep = step;
            folder.setFaults((currentStep, operation) ->
                    currentStep == crashStep ? PowerLossFolder.Fault.CRASH : PowerLossFolder.Fault.NONE);
            var ended = true;
            try {
                new SegmentLog(folder, "p0.", CORE_HASH);
            } catch (PowerLossFolder.Crash e) {
                ended = false;
            }
            for (var outcome = 0L; outcome < folder.outcomeCount(); outcome++)
                assertReadsEverything(folder.afterPowerLoss(outcome));
            assertReadsEverything(folder.afterKill());
            if (ended) return;
        }
    }

    @Test
    void folderWithoutMarkIsRead() {
        assertReadsEverything(withChangedSegment(length -> length, null));
    }

    @Test
    void tornTailIsDiscarded() {
        var syncedBytes = legacyFolder().read("p0.log.9").length;
        var next = record(ENTRY, 8, 3, 1, body(9));
        for (var tornBytes = 0; tornBytes < next.length; tornBytes++) {
            assertReadsEverything(withChangedSegment(whole -> whole, null, Arrays.copyOf(next, tornBytes)));
            assertReadsEverything(
                    withChangedSegment(whole -> whole, mark(9, syncedBytes), Arrays.copyOf(next, tornBytes)));
        }
        var missing = new byte[next.length];
        assertReadsEverything(
                withChangedSegment(whole -> whole, mark(9, syncedBytes), missing, record(ENTRY, 9, 3, 1, body(9))));
    }

    @Test
    void damageIsDetected() {
        var folder = legacyFolder();
        var segment = folder.read("p0.log.9");
        for (var offset = 0; offset < segment.length; offset++) {
            var damaged = segment.clone();
            damaged[offset] ^= 2;
            folder.putDurably("p0.log.9", damaged);
            var damagedFolder = folder.afterKill();
            assertThrows(
                    DiskLostException.class, () -> new SegmentLog(damagedFolder, "p0.", CORE_HASH), "byte " + offset);
        }
        assertThrows(
                DiskLostException.class,
                () -> new SegmentLog(
                        withChangedSegment(length -> length - 1, mark(9, segment.length)), "p0.", CORE_HASH));
        assertThrows(
                DiskLostException.class, () -> new SegmentLog(withChangedSegment(length -> 0, null), "p0.", CORE_HASH));
        assertThrows(DiskLostException.class, () -> new SegmentLog(legacyFolder(), "p0.", 8));
    }
}
