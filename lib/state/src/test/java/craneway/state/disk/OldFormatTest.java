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

/** Folders of the format without a header are read, and written anew in the present one. */
class OldFormatTest {
    private static final int BASE = 1;
    private static final int VOTE = 2;
    private static final int ENTRY = 3;
    private static final int CUT = 4;
    private static final int CORE = 7;

    /** size, checksum, type, index, term, kind, body: as written up to the commit 713c2f2. */
    private static byte[] record(int type, long index, long term, int kind, byte[] body) {
        var b = ByteBuffer.allocate(29 + body.length);
        b.putInt(b.capacity()).putInt(0).put((byte) type).putLong(index).putLong(term);
        b.putInt(kind).put(body);
        var sum = new CRC32C();
        sum.update(b.array(), 8, b.capacity() - 8);
        return b.putInt(4, (int) sum.getValue()).array();
    }

    private static byte[] body(int index) {
        var b = new byte[index * 3];
        Arrays.fill(b, (byte) index);
        return b;
    }

    private static byte[] mark(int segment, long length) {
        return record(
                BASE,
                0,
                0,
                0,
                ByteBuffer.allocate(12).putInt(segment).putLong(length).array());
    }

    private static byte[] join(byte[]... parts) {
        var all = new ByteArrayOutputStream();
        for (var p : parts) all.writeBytes(p);
        return all.toByteArray();
    }

    private static byte[] snapshot(long index, long term) {
        var i = new Snapshot();
        i.index = index;
        i.term = term;
        i.body = new byte[] {1, 2, 3};
        return record(BASE, 0, 0, 0, Codec.encode(i));
    }

    /** A folder with a snapshot up to 4, the entries 5 to 7 (6 and 7 written twice), and a vote for 3 in term 3. */
    private static PowerLossFolder folder() {
        var f = new PowerLossFolder();
        f.put("p0.image.4", snapshot(4, 1));
        var segment = join(
                record(BASE, 4, 1, CORE, new byte[0]),
                record(VOTE, 1, 2, 0, new byte[0]),
                record(ENTRY, 5, 2, 1, body(5)),
                record(ENTRY, 6, 2, 1, body(6)),
                record(CUT, 6, 0, 0, new byte[0]),
                record(VOTE, 3, 3, 0, new byte[0]),
                record(ENTRY, 6, 3, 2, body(7)),
                record(ENTRY, 7, 3, 1, body(8)));
        f.put("p0.log.9", segment);
        f.put("p0.mark", mark(9, segment.length));
        return f;
    }

    private static void readWhole(PowerLossFolder f) {
        var log = new SegmentLog(f, "p0.", CORE);
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

    private static PowerLossFolder changed(IntUnaryOperator length, byte[] mark, byte[]... behind) {
        var f = folder();
        var whole = f.read("p0.log.9");
        f.put("p0.log.9", join(Arrays.copyOf(whole, length.applyAsInt(whole.length)), join(behind)));
        if (mark == null) f.delete("p0.mark");
        else f.put("p0.mark", mark);
        return f;
    }

    @Test
    void aFolderIsReadAndWrittenInThePresentFormat() {
        var f = folder();
        readWhole(f);
        assertEquals(java.util.List.of("p0.image.4", "p0.log.10", "p0.mark"), f.fileNames());
        assertEquals(SegmentHeader.FORMAT, SegmentHeader.formatOf("p0.log.10", f.read("p0.log.10")));
        readWhole(f);
    }

    @Test
    void aCrashAtAnyStepOfTheFirstStartLosesNothing() {
        for (var step = 0; ; step++) {
            var f = folder();
            var at = step;
            f.faults((n, what) -> n == at ? PowerLossFolder.Fault.CRASH : PowerLossFolder.Fault.NONE);
            var ended = true;
            try {
                new SegmentLog(f, "p0.", CORE);
            } catch (PowerLossFolder.Crash e) {
                ended = false;
            }
            for (var o = 0L; o < f.outcomes(); o++) readWhole(f.afterPowerLoss(o));
            readWhole(f.afterKill());
            if (ended) return;
        }
    }

    @Test
    void aFolderWithoutAMarkIsRead() {
        readWhole(changed(n -> n, null));
    }

    @Test
    void aTornTailIsCut() {
        var length = folder().read("p0.log.9").length;
        var next = record(ENTRY, 8, 3, 1, body(9));
        for (var n = 0; n < next.length; n++) {
            readWhole(changed(all -> all, null, Arrays.copyOf(next, n)));
            readWhole(changed(all -> all, mark(9, length), Arrays.copyOf(next, n)));
        }
        var missing = new byte[next.length];
        readWhole(changed(all -> all, mark(9, length), missing, record(ENTRY, 9, 3, 1, body(9))));
    }

    @Test
    void damageIsTold() {
        var f = folder();
        var whole = f.read("p0.log.9");
        for (var at = 0; at < whole.length; at++) {
            var damaged = whole.clone();
            damaged[at] ^= 2;
            f.put("p0.log.9", damaged);
            var copy = f.afterKill();
            assertThrows(DiskLostException.class, () -> new SegmentLog(copy, "p0.", CORE), "byte " + at);
        }
        assertThrows(
                DiskLostException.class, () -> new SegmentLog(changed(n -> n - 1, mark(9, whole.length)), "p0.", CORE));
        assertThrows(DiskLostException.class, () -> new SegmentLog(changed(n -> 0, null), "p0.", CORE));
        assertThrows(DiskLostException.class, () -> new SegmentLog(folder(), "p0.", 8));
    }
}
