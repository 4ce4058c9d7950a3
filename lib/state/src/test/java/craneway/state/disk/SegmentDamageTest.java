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

/**
 * Checks that damage to synced bytes is reported as a lost disk, and that a folder in an unknown format is left
 * unchanged.
 */
class SegmentDamageTest {
    private static final String SYNC_MARK_NAME = "p0.mark";

    private static LogHistory playHistory(List<Call> calls) {
        var history = new LogHistory(new PowerLossFolder());
        assertTrue(history.play(calls));
        return history;
    }

    private static LogHistory historyWithThreeSyncs() {
        return playHistory(List.of(
                LogHistory.vote(1, 1),
                LogHistory.entry(1, 10),
                LogHistory.sync(),
                LogHistory.entry(1, 20),
                LogHistory.truncate(2),
                LogHistory.entry(1, 7),
                LogHistory.sync(),
                LogHistory.vote(2, 2),
                LogHistory.entry(2, 30),
                LogHistory.sync()));
    }

    private static void assertDiskLost(PowerLossFolder folder, String damage) {
        assertThrows(
                DiskLostException.class, () -> new SegmentLog(folder, LogHistory.PREFIX, LogHistory.CORE_HASH), damage);
    }

    private static PowerLossFolder withFile(PowerLossFolder folder, String name, byte[] bytes) {
        var changed = folder.afterKill();
        if (bytes == null) changed.delete(name);
        else changed.putDurably(name, bytes);
        return changed;
    }

    private static byte[] withFlippedBits(byte[] bytes, int offset, int bits) {
        var flipped = bytes.clone();
        flipped[offset] ^= (byte) bits;
        return flipped;
    }

    @Test
    void flippedByteOfSyncedSegmentIsDetected() {
        var folder = historyWithThreeSyncs().folder;
        var segment = folder.read("p0.log.1");
        for (var offset = 0; offset < segment.length; offset++)
            for (var bits : new int[] {1, 0x80, 0xff})
                assertDiskLost(
                        withFile(folder, "p0.log.1", withFlippedBits(segment, offset, bits)),
                        "byte " + offset + " bits " + bits);
    }

    @Test
    void laterRecordRevealsFlippedByteWithoutMark() {
        var history = historyWithThreeSyncs();
        var folder = withFile(history.folder, SYNC_MARK_NAME, null);
        var segment = folder.read("p0.log.1");
        assertEquals(
                history.states.get(history.acknowledgedState),
                LogHistory.describe(new SegmentLog(folder.afterKill(), "p0.", 7)));
        var lastSyncBytes = RecordCodec.HEADER_BYTES + RecordCodec.HEADER_BYTES + 30;
        for (var offset = 0; offset < segment.length - lastSyncBytes; offset++)
            assertDiskLost(withFile(folder, "p0.log.1", withFlippedBits(segment, offset, 0x40)), "byte " + offset);
    }

    @Test
    void truncatedSegmentIsDetected() {
        var folder = historyWithThreeSyncs().folder;
        var segment = folder.read("p0.log.1");
        for (var length = 0; length < segment.length; length++)
            assertDiskLost(withFile(folder, "p0.log.1", Arrays.copyOf(segment, length)), length + " bytes");
    }

    @Test
    void damageToInitialBytesIsDetectedWithoutMark() {
        var history = historyWithThreeSyncs();
        new SegmentLog(history.folder, LogHistory.PREFIX, LogHistory.CORE_HASH);
        var folder = withFile(history.folder, SYNC_MARK_NAME, null);
        var segment = folder.read("p0.log.2");
        for (var offset = 0; offset < segment.length; offset++) {
            assertDiskLost(withFile(folder, "p0.log.2", withFlippedBits(segment, offset, 2)), "byte " + offset);
            assertDiskLost(withFile(folder, "p0.log.2", Arrays.copyOf(segment, offset)), offset + " bytes");
        }
    }

    @Test
    void damageIsDetectedForEveryStateOfUnsyncedTail() {
        var history = historyWithThreeSyncs();
        assertTrue(history.makeCalls(List.of(LogHistory.entry(2, 5), LogHistory.entry(2, 6))));
        var triedCases = 0;
        for (var outcome = 0L; outcome < history.folder.outcomeCount(); outcome++) {
            var folder = history.folder.afterPowerLoss(outcome);
            var mark = SyncMark.decode(folder.read(SYNC_MARK_NAME));
            var segment = folder.read("p0.log.1");
            if (mark == null || mark.syncedBytes() > segment.length) continue;
            for (var offset = 0; offset < mark.syncedBytes(); offset += 13, triedCases++)
                assertDiskLost(
                        withFile(folder, "p0.log.1", withFlippedBits(segment, offset, 8)),
                        "outcome " + outcome + " byte " + offset);
        }
        assertTrue(triedCases > 1_000, triedCases + " tried");
    }

    @Test
    void restoredOlderSegmentIsDetected() {
        var history = playHistory(List.of(LogHistory.entry(1, 10), LogHistory.sync()));
        var olderSegment = history.folder.read("p0.log.1");
        history.makeCalls(List.of(LogHistory.entry(1, 11), LogHistory.sync()));
        assertDiskLost(withFile(history.folder, "p0.log.1", olderSegment), "shorter");
        new SegmentLog(history.folder, LogHistory.PREFIX, LogHistory.CORE_HASH);
        assertDiskLost(
                withFile(withFile(history.folder, "p0.log.2", null), "p0.log.1", olderSegment), "an earlier number");
        assertDiskLost(withFile(history.folder, "p0.log.2", olderSegment), "an earlier number under the newest name");
        assertDiskLost(
                withFile(withFile(history.folder, "p0.log.2", olderSegment), SYNC_MARK_NAME, null),
                "an earlier number, without a mark");
    }

    @Test
    void foreignSegmentOfSameNumberIsDetected() {
        var history = historyWithThreeSyncs();
        assertDiskLost(
                withFile(
                        history.folder,
                        "p0.log.1",
                        historyWithThreeSyncs().folder.read("p0.log.1")),
                "of another folder");
    }

    @Test
    void segmentOfAnotherCoreIsDetected() {
        var folder = historyWithThreeSyncs().folder;
        assertThrows(DiskLostException.class, () -> new SegmentLog(folder, LogHistory.PREFIX, 8));
    }

    @Test
    void missingSegmentIsDetected() {
        var folder = playHistory(List.of(LogHistory.entry(1, 10), LogHistory.installSnapshot(1, 1))).folder;
        assertDiskLost(withFile(folder, "p0.log.2", null), "with a mark");
        assertDiskLost(withFile(withFile(folder, "p0.log.2", null), SYNC_MARK_NAME, null), "with a snapshot");
    }

    @Test
    void damagedOrMissingSnapshotIsDetected() {
        var folder = playHistory(
                        List.of(LogHistory.entry(1, 10), LogHistory.entry(1, 9), LogHistory.installSnapshot(1, 1)))
                .folder;
        var snapshot = folder.read("p0.image.1");
        for (var offset = 0; offset < snapshot.length; offset++)
            assertDiskLost(withFile(folder, "p0.image.1", withFlippedBits(snapshot, offset, 4)), "byte " + offset);
        assertDiskLost(withFile(folder, "p0.image.1", null), "missing");
        var otherSnapshot =
                playHistory(List.of(LogHistory.installSnapshot(2, 1))).folder.read("p0.image.2");
        assertDiskLost(withFile(folder, "p0.image.1", otherSnapshot), "of another index");
    }

    @Test
    void damageToLastSyncIsUndetectedWithoutMark() {
        var history = historyWithThreeSyncs();
        var segment = history.folder.read("p0.log.1");
        var folder = withFile(
                withFile(history.folder, SYNC_MARK_NAME, null),
                "p0.log.1",
                withFlippedBits(segment, segment.length - 1, 1));
        assertEquals(1, new SegmentLog(folder, LogHistory.PREFIX, LogHistory.CORE_HASH).currentTerm() - 1);
        assertEquals(2, new SegmentLog(folder, LogHistory.PREFIX, LogHistory.CORE_HASH).lastIndex());
    }

    @Test
    void newerFormatIsReportedAndNothingIsWritten() {
        var folder = historyWithThreeSyncs().folder;
        var segment = folder.read("p0.log.1");
        var format = SegmentHeader.CURRENT_FORMAT + 1;
        ByteBuffer.wrap(segment).putInt(4, format).putInt(8, ~format);
        folder.putDurably("p0.log.1", segment);
        var contentsBefore = contents(folder);
        folder.setFaults((step, what) -> PowerLossFolder.Fault.CRASH);
        var failure = assertThrows(UnknownFormatException.class, () -> SegmentLog.checkFormats(folder));
        assertTrue(
                failure.getMessage().startsWith("p0.log.1 has the data format 3; this version knows formats up to 2"));
        assertThrows(
                UnknownFormatException.class, () -> new SegmentLog(folder, LogHistory.PREFIX, LogHistory.CORE_HASH));
        assertEquals(0, folder.steps());
        assertEquals(contentsBefore.keySet(), contents(folder).keySet());
        contentsBefore.forEach((name, bytes) -> assertArrayEquals(bytes, folder.read(name)));
    }

    private static TreeMap<String, byte[]> contents(Folder folder) {
        var contents = new TreeMap<String, byte[]>();
        folder.fileNames().forEach(name -> contents.put(name, folder.read(name)));
        return contents;
    }
}
