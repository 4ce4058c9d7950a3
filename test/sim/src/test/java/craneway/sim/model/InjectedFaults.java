package craneway.sim.model;

import craneway.state.disk.DiskException;
import craneway.state.disk.SegmentLog;
import craneway.state.message.Codec;
import craneway.state.part.LogEntry;
import craneway.state.part.Members;
import craneway.state.part.PartMessage;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Faults injected into what members send, receive or find on their disks. */
final class InjectedFaults {
    private static final long STAMP_SHIFT_MICROS = 5_000_000;

    private InjectedFaults() {}

    /** Changes the log before each restart of a member. */
    private static InjectedFault onDisk(Consumer<SegmentLog> change) {
        return new InjectedFault() {
            @Override
            public void beforeStart(int slot, TrackedDisk disk) {
                if (disk.folder().fileNames().isEmpty()) return;
                var log = new SegmentLog(disk.folder(), "p" + World.PART + ".", Long.hashCode(World.CORE_ID));
                try {
                    change.accept(log);
                    log.sync();
                } catch (DiskException e) {
                    disk.setFull(true);
                }
            }
        };
    }

    /** Changes a copy of each received message. */
    private static InjectedFault onReceive(Consumer<PartMessage> change) {
        return new InjectedFault() {
            @Override
            public PartMessage replaceReceived(int slot, PartMessage message) {
                var copy = Codec.decode(PartMessage.class, Codec.encode(message));
                change.accept(copy);
                return copy;
            }
        };
    }

    /** Changes each message before it is sent. */
    private static InjectedFault onSend(Consumer<PartMessage> change) {
        return new InjectedFault() {
            @Override
            public PartMessage replaceSent(int slot, PartMessage message) {
                change.accept(message);
                return message;
            }
        };
    }

    /** Loses the vote over a restart. */
    static InjectedFault forgetsVotes() {
        return onDisk(log -> log.saveTermAndVote(log.currentTerm(), 0));
    }

    /** Goes back one term over a restart. */
    static InjectedFault forgetsTerms() {
        return onDisk(log -> log.saveTermAndVote(Math.max(0, log.currentTerm() - 1), 0));
    }

    /** Loses up to four entries over a restart. */
    static InjectedFault forgetsEntries() {
        return onDisk(log -> log.truncateFrom(Math.max(log.firstIndex(), log.lastIndex() - 3)));
    }

    /** Grants every vote. */
    static InjectedFault grantsEveryVote() {
        return onSend(message -> {
            if (message.kind == PartMessage.VOTE_REPLY) message.granted = true;
        });
    }

    /** Refuses every vote. */
    static InjectedFault refusesEveryVote() {
        return onSend(message -> {
            if (message.kind == PartMessage.VOTE_REPLY || message.kind == PartMessage.PRE_VOTE_REPLY)
                message.granted = false;
        });
    }

    /** Reports syncs that were not done. */
    static InjectedFault ignoresSyncs() {
        return new InjectedFault() {
            @Override
            public void beforeStart(int slot, TrackedDisk disk) {
                disk.ignoreSyncs();
            }
        };
    }

    /** Stores no entry and acknowledges every entry that it was sent. */
    static InjectedFault acknowledgesWithoutStoring() {
        return new InjectedFault() {
            private final Map<Integer, Long> highestIndexSent = new HashMap<>();

            @Override
            public PartMessage replaceReceived(int slot, PartMessage message) {
                if (message.kind != PartMessage.APPEND || message.entries.isEmpty()) return message;
                var copy = Codec.decode(PartMessage.class, Codec.encode(message));
                highestIndexSent.merge(slot, message.entries.get(message.entries.size() - 1).index, Math::max);
                copy.entries.clear();
                return copy;
            }

            @Override
            public PartMessage replaceSent(int slot, PartMessage message) {
                if (message.kind != PartMessage.APPEND_REPLY) return message;
                message.granted = true;
                message.index = highestIndexSent.getOrDefault(slot, 0L);
                return message;
            }
        };
    }

    /** Treats every candidate's log as up to date. */
    static InjectedFault votesForStaleLogs() {
        return onReceive(message -> {
            if (message.kind == PartMessage.VOTE || message.kind == PartMessage.PRE_VOTE)
                message.logTerm = Long.MAX_VALUE;
        });
    }

    /** Shifts the time stamp of acknowledgements, so that a leader believes that its lease lasts longer. */
    static InjectedFault overestimatesLease() {
        return onReceive(message -> {
            if (message.kind == PartMessage.APPEND_REPLY) message.sentAt += STAMP_SHIFT_MICROS;
        });
    }

    /** Stores other command bodies in slot 2. */
    static InjectedFault altersCommands() {
        return new InjectedFault() {
            @Override
            public PartMessage replaceReceived(int slot, PartMessage message) {
                if (slot != 2 || message.kind != PartMessage.APPEND) return message;
                var copy = Codec.decode(PartMessage.class, Codec.encode(message));
                for (var entry : copy.entries) if (entry.type == LogEntry.COMMAND) entry.body[0] ^= 1;
                return copy;
            }
        };
    }

    /**
     * Turns commands into membership changes at the followers, as if the leader proposed them without waiting for one
     * another.
     */
    static InjectedFault changesMembershipConcurrently() {
        return onReceive(message -> {
            for (var entry : message.entries) {
                if (entry.type != LogEntry.COMMAND) continue;
                entry.type = LogEntry.MEMBERSHIP;
                entry.body = Codec.encode(Members.of(new long[] {1, 2, 3}, new String[] {"z1", "z2", "z3"}));
            }
        });
    }
}
