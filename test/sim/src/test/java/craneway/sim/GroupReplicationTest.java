package craneway.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.model.event.Event;
import craneway.model.unit.TimingProfile;
import craneway.state.disk.DiskLostException;
import craneway.state.disk.SegmentLog;
import craneway.state.part.Group;
import craneway.state.part.GroupListener;
import craneway.state.part.LogEntry;
import craneway.state.part.Members;
import craneway.state.part.PartMessage;
import craneway.state.part.Role;
import craneway.state.part.Snapshot;
import craneway.state.part.StateMachine;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;

/** Replication, leadership and recovery of a single group over in-memory disks, without a simulated network. */
class GroupReplicationTest {
    private static final long TICK_MICROS = 10_000;

    /** Counts the commands that were applied; its snapshot has as many bytes. */
    private static final class CountingStateMachine implements StateMachine {
        int applied;

        @Override
        public Object apply(long index, byte[] command) {
            return ++applied;
        }

        @Override
        public byte[] encodeSnapshot() {
            return new byte[applied];
        }

        @Override
        public void restoreSnapshot(byte[] snapshot) {
            applied = snapshot == null ? 0 : snapshot.length;
        }
    }

    /** One replica of the group on a disk of its own. */
    private final class Replica implements GroupListener {
        final SimulatedDisk disk = new SimulatedDisk();
        final CountingStateMachine counter = new CountingStateMachine();
        final Group group;
        int sentMessages;
        int sentEntries;

        Replica(long id, Members members) {
            group = new Group(0, id, 9, disk, members, counter, new Random(id), this, TimingProfile.LOW_TRAFFIC, now);
        }

        @Override
        public void send(PartMessage message) {
            if (dropFilter.test(message)) return;
            sentMessages++;
            sentEntries += message.entries.size();
            inFlightMessages.add(message);
        }

        @Override
        public void onApplied(long index, long term, Object result) {}

        @Override
        public void onLeadershipChanged(boolean isLeader, long term) {}

        @Override
        public void logEvent(Event event, String detail) {}
    }

    private long now = 1_000_000;
    private Predicate<PartMessage> dropFilter = message -> false;
    private final List<PartMessage> inFlightMessages = new ArrayList<>();
    private final List<Replica> replicas = new ArrayList<>();

    private Replica startAndElect(int count) {
        var ids = new long[count];
        var zones = new String[count];
        for (var i = 0; i < count; i++) {
            ids[i] = i + 1;
            zones[i] = "z" + i;
        }
        for (var id : ids) replicas.add(new Replica(id, Members.of(ids, zones)));
        runFor(4_000_000);
        return replicas.stream()
                .filter(replica -> replica.group.role() == Role.LEADER)
                .findFirst()
                .orElseThrow();
    }

    private void runFor(long micros) {
        for (var end = now + micros; now < end; now += TICK_MICROS) {
            for (var replica : replicas) {
                replica.group.tick(now);
                replica.group.syncAndSend(now);
            }
            deliverMessages();
        }
    }

    private void deliverMessages() {
        while (!inFlightMessages.isEmpty()) {
            var messages = List.copyOf(inFlightMessages);
            inFlightMessages.clear();
            for (var message : messages) {
                var receiver = replicas.get((int) message.to - 1);
                receiver.group.receive(message, now);
                receiver.group.syncAndSend(now);
            }
        }
    }

    private void propose(Replica leader, int bytes) {
        leader.group.propose(new byte[bytes], now);
        leader.group.syncAndSend(now);
        deliverMessages();
    }

    @Test
    void aLostAppendIsRepeatedWithinAHeartbeat() {
        var leader = startAndElect(3);
        dropFilter = message -> message.kind == PartMessage.APPEND && !message.entries.isEmpty();
        propose(leader, 10);
        assertEquals(0, leader.counter.applied);
        dropFilter = message -> false;
        runFor(TimingProfile.LOW_TRAFFIC.heartbeatInterval() + TICK_MICROS);
        for (var replica : replicas) assertEquals(leader.group.lastIndex(), replica.group.lastIndex());
        assertEquals(1, leader.counter.applied);
    }

    @Test
    void aLargeAppendIsNotRepeatedWhileInFlight() {
        var leader = startAndElect(3);
        var droppedMessages = new ArrayList<PartMessage>();
        dropFilter = message -> {
            if (message.kind != PartMessage.APPEND || message.entries.isEmpty()) return false;
            droppedMessages.add(message);
            return true;
        };
        propose(leader, 100_000);
        runFor(350_000);
        assertEquals(2, droppedMessages.size());
        assertEquals(Role.LEADER, leader.group.role());
        dropFilter = message -> false;
        inFlightMessages.addAll(droppedMessages);
        deliverMessages();
        assertEquals(1, leader.counter.applied);
    }

    @Test
    void aLostLargeAppendIsRepeated() {
        var leader = startAndElect(3);
        dropFilter = message -> message.kind == PartMessage.APPEND && !message.entries.isEmpty();
        propose(leader, 100_000);
        dropFilter = message -> false;
        runFor(700_000);
        assertEquals(1, leader.counter.applied);
    }

    @Test
    void uncommittedEntriesOfAnOldLeaderAreReplaced() {
        var oldLeader = startAndElect(3);
        var oldLeaderId = replicas.indexOf(oldLeader) + 1;
        dropFilter = message -> message.from == oldLeaderId || message.to == oldLeaderId;
        for (var i = 0; i < 20; i++) propose(oldLeader, 2_000);
        runFor(4_000_000);
        var leader = replicas.stream()
                .filter(replica -> replica != oldLeader && replica.group.role() == Role.LEADER)
                .findFirst()
                .orElseThrow();
        for (var i = 0; i < 30; i++) propose(leader, 2_000);
        dropFilter = message -> false;
        runFor(3_000_000);
        for (var replica : replicas) assertEquals(30, replica.counter.applied);
    }

    @Test
    void aLeaderWhoseTransferFailsKeepsTheLeadership() {
        var leader = startAndElect(3);
        var target = replicas.stream()
                .filter(replica -> replica != leader)
                .findFirst()
                .get();
        target.disk.setFull(true);
        propose(leader, 10);
        var term = leader.group.term();
        assertTrue(leader.group.transferLeadership(replicas.indexOf(target) + 1, now));
        runFor(2_000_000);
        assertEquals(Role.LEADER, leader.group.role());
        assertEquals(term, leader.group.term());
        propose(leader, 10);
        assertEquals(2, leader.counter.applied);
    }

    @Test
    void anEntryIsNotCommittedBeforeAMajorityHasSyncedIt() {
        var leader = startAndElect(3);
        leader.group.propose(new byte[10], now);
        leader.group.tick(now);
        assertEquals(0, leader.counter.applied);
        replicas.stream().filter(replica -> replica != leader).forEach(replica -> replica.disk.setFull(true));
        leader.group.syncAndSend(now);
        deliverMessages();
        runFor(300_000);
        assertEquals(0, leader.counter.applied);
    }

    @Test
    void anOldSegmentThatReappearsAfterAPowerLossIsIgnored() {
        var disk = new SimulatedDisk();
        var log = new SegmentLog(disk, "p0.", 1);
        log.saveTermAndVote(1, 1);
        for (var i = 1; i <= 5; i++) log.append(new LogEntry(i, 1, LogEntry.COMMAND, new byte[20]));
        log.sync();
        var oldSegment = disk.fileNames().stream()
                .filter(name -> name.contains("log."))
                .findFirst()
                .get();
        log.append(new LogEntry(6, 1, LogEntry.COMMAND, new byte[20]));
        var damagedSegment = disk.read(oldSegment);
        var snapshot = new Snapshot();
        snapshot.index = 4;
        snapshot.term = 1;
        snapshot.body = new byte[4];
        log.installSnapshot(snapshot);
        damagedSegment[damagedSegment.length - 3] ^= 9;
        disk.replace(oldSegment, damagedSegment);
        var reopenedLog = new SegmentLog(disk, "p0.", 1);
        assertEquals(6, reopenedLog.lastIndex());
        assertEquals(4, reopenedLog.snapshot().index);
        assertEquals(1, reopenedLog.votedFor());
    }

    @Test
    void aDamagedSyncedEntryIsReportedAsALostDisk() {
        var disk = new SimulatedDisk();
        var log = new SegmentLog(disk, "p0.", 1);
        log.append(new LogEntry(1, 1, LogEntry.COMMAND, new byte[20]));
        log.sync();
        disk.corruptByte(
                disk.fileNames().stream()
                        .filter(name -> name.contains("log."))
                        .findFirst()
                        .get(),
                40);
        var detected = false;
        try {
            new SegmentLog(disk, "p0.", 1);
        } catch (DiskLostException e) {
            detected = true;
        }
        assertTrue(detected);
    }
}
