package craneway.state.disk;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.state.disk.LogHistory.Call;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Damage to bytes that were synced is told as a lost disk, and a folder that is not understood stays as it is. */
class SegmentDamageTest {
    private static final String MARK = "p0.mark";

    private static LogHistory played(List<Call> calls) {
        var h = new LogHistory(new PowerLossFolder());
        assertTrue(h.play(calls));
        return h;
    }

    private static LogHistory threeSyncs() {
        return played(List.of(
                LogHistory.vote(1, 1),
                LogHistory.entry(1, 10),
                LogHistory.sync(),
                LogHistory.entry(1, 20),
                LogHistory.cut(2),
                LogHistory.entry(1, 7),
                LogHistory.sync(),
                LogHistory.vote(2, 2),
                LogHistory.entry(2, 30),
                LogHistory.sync()));
    }

    private static void lost(PowerLossFolder f, String what) {
        assertThrows(DiskLostException.class, () -> new SegmentLog(f, LogHistory.PREFIX, LogHistory.CORE), what);
    }

    private static PowerLossFolder with(PowerLossFolder f, String name, byte[] bytes) {
        var other = f.afterKill();
        if (bytes == null) other.delete(name);
        else other.put(name, bytes);
        return other;
    }

    private static byte[] flipped(byte[] bytes, int at, int bits) {
        var b = bytes.clone();
        b[at] ^= (byte) bits;
        return b;
    }

    @Test
    void aFlippedByteOfASyncedSegment() {
        var f = threeSyncs().folder;
        var whole = f.read("p0.log.1");
        for (var at = 0; at < whole.length; at++)
            for (var bits : new int[] {1, 0x80, 0xff})
                lost(with(f, "p0.log.1", flipped(whole, at, bits)), "byte " + at + " bits " + bits);
    }

    @Test
    void withoutAMarkALaterRecordTellsAFlippedByte() {
        var h = threeSyncs();
        var f = with(h.folder, MARK, null);
        var whole = f.read("p0.log.1");
        assertEquals(h.states.get(h.acknowledged), LogHistory.describe(new SegmentLog(f.afterKill(), "p0.", 7)));
        var lastSync = RecordCodec.HEAD + RecordCodec.HEAD + 30;
        for (var at = 0; at < whole.length - lastSync; at++)
            lost(with(f, "p0.log.1", flipped(whole, at, 0x40)), "byte " + at);
    }

    @Test
    void aTruncatedSegment() {
        var f = threeSyncs().folder;
        var whole = f.read("p0.log.1");
        for (var n = 0; n < whole.length; n++) lost(with(f, "p0.log.1", Arrays.copyOf(whole, n)), n + " bytes");
    }

    @Test
    void withoutAMarkDamageToWhatTheStartWroteIsTold() {
        var h = threeSyncs();
        new SegmentLog(h.folder, LogHistory.PREFIX, LogHistory.CORE);
        var f = with(h.folder, MARK, null);
        var whole = f.read("p0.log.2");
        for (var at = 0; at < whole.length; at++) {
            lost(with(f, "p0.log.2", flipped(whole, at, 2)), "byte " + at);
            lost(with(f, "p0.log.2", Arrays.copyOf(whole, at)), at + " bytes");
        }
    }

    @Test
    void damageIsToldWhateverBecameOfTheUnsyncedTail() {
        var h = threeSyncs();
        assertTrue(h.make(List.of(LogHistory.entry(2, 5), LogHistory.entry(2, 6))));
        var tried = 0;
        for (var o = 0L; o < h.folder.outcomes(); o++) {
            var f = h.folder.afterPowerLoss(o);
            var mark = SyncMark.decode(f.read(MARK));
            var segment = f.read("p0.log.1");
            if (mark == null || mark.length() > segment.length) continue;
            for (var at = 0; at < mark.length(); at += 13, tried++)
                lost(with(f, "p0.log.1", flipped(segment, at, 8)), "outcome " + o + " byte " + at);
        }
        assertTrue(tried > 1_000, tried + " tried");
    }

    @Test
    void anOlderStateOfTheSegmentPutBack() {
        var h = played(List.of(LogHistory.entry(1, 10), LogHistory.sync()));
        var older = h.folder.read("p0.log.1");
        h.make(List.of(LogHistory.entry(1, 11), LogHistory.sync()));
        lost(with(h.folder, "p0.log.1", older), "shorter");
        new SegmentLog(h.folder, LogHistory.PREFIX, LogHistory.CORE);
        lost(with(with(h.folder, "p0.log.2", null), "p0.log.1", older), "an earlier number");
        lost(with(h.folder, "p0.log.2", older), "an earlier number under the newest name");
        lost(with(with(h.folder, "p0.log.2", older), MARK, null), "an earlier number, without a mark");
    }

    @Test
    void anotherSegmentOfTheSameNumber() {
        var h = threeSyncs();
        lost(with(h.folder, "p0.log.1", threeSyncs().folder.read("p0.log.1")), "of another folder");
    }

    @Test
    void aSegmentOfAnotherCore() {
        var f = threeSyncs().folder;
        assertThrows(DiskLostException.class, () -> new SegmentLog(f, LogHistory.PREFIX, 8));
    }

    @Test
    void aMissingSegment() {
        var f = played(List.of(LogHistory.entry(1, 10), LogHistory.take(1, 1))).folder;
        lost(with(f, "p0.log.2", null), "with a mark");
        lost(with(with(f, "p0.log.2", null), MARK, null), "with a snapshot");
    }

    @Test
    void aDamagedOrMissingSnapshot() {
        var f = played(List.of(LogHistory.entry(1, 10), LogHistory.entry(1, 9), LogHistory.take(1, 1))).folder;
        var snapshot = f.read("p0.image.1");
        for (var at = 0; at < snapshot.length; at++)
            lost(with(f, "p0.image.1", flipped(snapshot, at, 4)), "byte " + at);
        lost(with(f, "p0.image.1", null), "missing");
        var other = played(List.of(LogHistory.take(2, 1))).folder.read("p0.image.2");
        lost(with(f, "p0.image.1", other), "of another index");
    }

    @Test
    void damageToTheVeryLastSyncIsNotToldOnceItsMarkIsLostToo() {
        var h = threeSyncs();
        var whole = h.folder.read("p0.log.1");
        var f = with(with(h.folder, MARK, null), "p0.log.1", flipped(whole, whole.length - 1, 1));
        assertEquals(1, new SegmentLog(f, LogHistory.PREFIX, LogHistory.CORE).currentTerm() - 1);
        assertEquals(2, new SegmentLog(f, LogHistory.PREFIX, LogHistory.CORE).lastIndex());
    }

    @Test
    void aNewerFormatIsNamedAndNothingIsWritten() {
        var f = threeSyncs().folder;
        var newer = f.read("p0.log.1");
        var format = SegmentHeader.FORMAT + 1;
        ByteBuffer.wrap(newer).putInt(4, format).putInt(8, ~format);
        f.put("p0.log.1", newer);
        var before = contents(f);
        f.faults((step, what) -> PowerLossFolder.Fault.CRASH);
        var e = assertThrows(UnknownFormatException.class, () -> SegmentLog.checkFormats(f));
        assertTrue(e.getMessage().startsWith("p0.log.1 has the data format 3; this version knows formats up to 2"));
        assertThrows(UnknownFormatException.class, () -> new SegmentLog(f, LogHistory.PREFIX, LogHistory.CORE));
        assertEquals(0, f.steps());
        assertEquals(before.keySet(), contents(f).keySet());
        before.forEach((n, b) -> assertArrayEquals(b, f.read(n)));
    }

    private static TreeMap<String, byte[]> contents(Folder f) {
        var all = new TreeMap<String, byte[]>();
        f.fileNames().forEach(n -> all.put(n, f.read(n)));
        return all;
    }
}
