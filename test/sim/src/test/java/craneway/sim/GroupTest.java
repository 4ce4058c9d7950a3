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

class GroupTest {
    private static final long TICK = 10_000;

    private static final class Counter implements StateMachine {
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
        public void restoreSnapshot(byte[] image) {
            applied = image == null ? 0 : image.length;
        }
    }

    private final class One implements GroupListener {
        final SimulatedDisk disk = new SimulatedDisk();
        final Counter counter = new Counter();
        final Group group;
        int sent;
        int entries;

        One(long id, Members all) {
            group = new Group(0, id, 9, disk, all, counter, new Random(id), this, TimingProfile.LOW_TRAFFIC, now);
        }

        @Override
        public void send(PartMessage m) {
            if (drop.test(m)) return;
            sent++;
            entries += m.entries.size();
            mail.add(m);
        }

        @Override
        public void onApplied(long index, long term, Object result) {}

        @Override
        public void onLeadershipChanged(boolean owns, long term) {}

        @Override
        public void logEvent(Event e, String detail) {}
    }

    private long now = 1_000_000;
    private Predicate<PartMessage> drop = m -> false;
    private final List<PartMessage> mail = new ArrayList<>();
    private final List<One> ones = new ArrayList<>();

    private One elect(int n) {
        var ids = new long[n];
        var zones = new String[n];
        for (var i = 0; i < n; i++) {
            ids[i] = i + 1;
            zones[i] = "z" + i;
        }
        for (var id : ids) ones.add(new One(id, Members.of(ids, zones)));
        run(4_000_000);
        return ones.stream()
                .filter(o -> o.group.role() == Role.LEADER)
                .findFirst()
                .orElseThrow();
    }

    private void run(long micros) {
        for (var end = now + micros; now < end; now += TICK) {
            for (var o : ones) {
                o.group.tick(now);
                o.group.syncAndSend(now);
            }
            deliver();
        }
    }

    private void deliver() {
        while (!mail.isEmpty()) {
            var all = List.copyOf(mail);
            mail.clear();
            for (var m : all) {
                var o = ones.get((int) m.to - 1);
                o.group.receive(m, now);
                o.group.syncAndSend(now);
            }
        }
    }

    private void propose(One owner, int bytes) {
        owner.group.propose(new byte[bytes], now);
        owner.group.syncAndSend(now);
        deliver();
    }

    @Test
    void aLostAppendIsMadeUpForWithinABeat() {
        var owner = elect(3);
        drop = m -> m.kind == PartMessage.APPEND && !m.entries.isEmpty();
        propose(owner, 10);
        assertEquals(0, owner.counter.applied);
        drop = m -> false;
        run(TimingProfile.LOW_TRAFFIC.heartbeatInterval() + TICK);
        for (var o : ones) assertEquals(owner.group.lastIndex(), o.group.lastIndex());
        assertEquals(1, owner.counter.applied);
    }

    @Test
    void aLargeAppendIsNotSentAgainWhileOnItsWay() {
        var owner = elect(3);
        var held = new ArrayList<PartMessage>();
        drop = m -> {
            if (m.kind != PartMessage.APPEND || m.entries.isEmpty()) return false;
            held.add(m);
            return true;
        };
        propose(owner, 100_000);
        run(350_000);
        assertEquals(2, held.size());
        assertEquals(Role.LEADER, owner.group.role());
        drop = m -> false;
        mail.addAll(held);
        deliver();
        assertEquals(1, owner.counter.applied);
    }

    @Test
    void aLargeAppendThatIsLostGoesAgain() {
        var owner = elect(3);
        drop = m -> m.kind == PartMessage.APPEND && !m.entries.isEmpty();
        propose(owner, 100_000);
        drop = m -> false;
        run(700_000);
        assertEquals(1, owner.counter.applied);
    }

    @Test
    void aFollowerWhoseLargeEntriesWereNeverCommittedIsBroughtIntoLine() {
        var old = elect(3);
        var id = ones.indexOf(old) + 1;
        drop = m -> m.from == id || m.to == id;
        for (var i = 0; i < 20; i++) propose(old, 2_000);
        run(4_000_000);
        var owner = ones.stream()
                .filter(o -> o != old && o.group.role() == Role.LEADER)
                .findFirst()
                .orElseThrow();
        for (var i = 0; i < 30; i++) propose(owner, 2_000);
        drop = m -> false;
        run(3_000_000);
        for (var o : ones) assertEquals(30, o.counter.applied);
    }

    @Test
    void anOwnerThatCannotHandOverGoesOnOwning() {
        var owner = elect(3);
        var to = ones.stream().filter(o -> o != owner).findFirst().get();
        to.disk.setFull(true);
        propose(owner, 10);
        var term = owner.group.term();
        assertTrue(owner.group.transferLeadership(ones.indexOf(to) + 1, now));
        run(2_000_000);
        assertEquals(Role.LEADER, owner.group.role());
        assertEquals(term, owner.group.term());
        propose(owner, 10);
        assertEquals(2, owner.counter.applied);
    }

    @Test
    void nothingIsCommittedBeforeAMajorityHasSyncedIt() {
        var owner = elect(3);
        owner.group.propose(new byte[10], now);
        owner.group.tick(now);
        assertEquals(0, owner.counter.applied);
        ones.stream().filter(o -> o != owner).forEach(o -> o.disk.setFull(true));
        owner.group.syncAndSend(now);
        deliver();
        run(300_000);
        assertEquals(0, owner.counter.applied);
    }

    @Test
    void anOlderSegmentThatComesBackAfterPowerLossIsPassedOver() {
        var disk = new SimulatedDisk();
        var log = new SegmentLog(disk, "p0.", 1);
        log.saveTermAndVote(1, 1);
        for (var i = 1; i <= 5; i++) log.append(new LogEntry(i, 1, LogEntry.COMMAND, new byte[20]));
        log.sync();
        var old = disk.fileNames().stream()
                .filter(n -> n.contains("log."))
                .findFirst()
                .get();
        log.append(new LogEntry(6, 1, LogEntry.COMMAND, new byte[20]));
        var torn = disk.read(old);
        var image = new Snapshot();
        image.index = 4;
        image.term = 1;
        image.body = new byte[4];
        log.installSnapshot(image);
        torn[torn.length - 3] ^= 9;
        disk.replace(old, torn);
        var back = new SegmentLog(disk, "p0.", 1);
        assertEquals(6, back.lastIndex());
        assertEquals(4, back.snapshot().index);
        assertEquals(1, back.votedFor());
    }

    @Test
    void aSyncedEntryThatIsDamagedIsALostDisk() {
        var disk = new SimulatedDisk();
        var log = new SegmentLog(disk, "p0.", 1);
        log.append(new LogEntry(1, 1, LogEntry.COMMAND, new byte[20]));
        log.sync();
        disk.corruptByte(
                disk.fileNames().stream()
                        .filter(n -> n.contains("log."))
                        .findFirst()
                        .get(),
                40);
        var lost = false;
        try {
            new SegmentLog(disk, "p0.", 1);
        } catch (DiskLostException e) {
            lost = true;
        }
        assertTrue(lost);
    }
}
