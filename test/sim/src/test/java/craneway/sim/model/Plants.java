package craneway.sim.model;

import craneway.state.disk.DiskException;
import craneway.state.disk.SegmentLog;
import craneway.state.message.Codec;
import craneway.state.part.Entry;
import craneway.state.part.Members;
import craneway.state.part.PartMessage;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Faults injected into what members send, receive or find on their disks. */
final class Plants {
    private static final long STAMP_SHIFT_MICROS = 5_000_000;

    private Plants() {}

    /** Changes the log before each restart of a member. */
    private static Plant onDisk(Consumer<SegmentLog> change) {
        return new Plant() {
            @Override
            public void starting(int slot, ProbedDisk disk) {
                if (disk.folder().names().isEmpty()) return;
                var log = new SegmentLog(disk.folder(), "p" + World.PART + ".", Long.hashCode(World.CORE));
                try {
                    change.accept(log);
                    log.sync();
                } catch (DiskException e) {
                    disk.full(true);
                }
            }
        };
    }

    /** Changes a copy of each received message. */
    private static Plant onReceive(Consumer<PartMessage> change) {
        return new Plant() {
            @Override
            public PartMessage received(int slot, PartMessage message) {
                var copy = Codec.read(PartMessage.class, Codec.write(message));
                change.accept(copy);
                return copy;
            }
        };
    }

    /** Changes each message before it is sent. */
    private static Plant onSend(Consumer<PartMessage> change) {
        return new Plant() {
            @Override
            public PartMessage sent(int slot, PartMessage message) {
                change.accept(message);
                return message;
            }
        };
    }

    /** Loses the vote over a restart. */
    static Plant forgettingVotes() {
        return onDisk(log -> log.saveTermAndVote(log.term(), 0));
    }

    /** Goes back one term over a restart. */
    static Plant forgettingTerms() {
        return onDisk(log -> log.saveTermAndVote(Math.max(0, log.term() - 1), 0));
    }

    /** Loses up to four entries over a restart. */
    static Plant forgettingEntries() {
        return onDisk(log -> log.cutFrom(Math.max(log.first(), log.last() - 3)));
    }

    /** Grants every vote. */
    static Plant sayingYes() {
        return onSend(message -> {
            if (message.kind == PartMessage.VOTE_REPLY) message.granted = true;
        });
    }

    /** Refuses every vote. */
    static Plant refusing() {
        return onSend(message -> {
            if (message.kind == PartMessage.VOTE_REPLY || message.kind == PartMessage.PRE_VOTE_REPLY)
                message.granted = false;
        });
    }

    /** Reports syncs that were not done. */
    static Plant lyingAboutSync() {
        return new Plant() {
            @Override
            public void starting(int slot, ProbedDisk disk) {
                disk.lieAboutSync();
            }
        };
    }

    /** Stores no entry and acknowledges every entry that it was sent. */
    static Plant hollow() {
        return new Plant() {
            private final Map<Integer, Long> highestIndexSent = new HashMap<>();

            @Override
            public PartMessage received(int slot, PartMessage message) {
                if (message.kind != PartMessage.APPEND || message.entries.isEmpty()) return message;
                var copy = Codec.read(PartMessage.class, Codec.write(message));
                highestIndexSent.merge(slot, message.entries.get(message.entries.size() - 1).index, Math::max);
                copy.entries.clear();
                return copy;
            }

            @Override
            public PartMessage sent(int slot, PartMessage message) {
                if (message.kind != PartMessage.APPEND_REPLY) return message;
                message.granted = true;
                message.index = highestIndexSent.getOrDefault(slot, 0L);
                return message;
            }
        };
    }

    /** Treats every candidate's log as up to date. */
    static Plant votingForStaleLogs() {
        return onReceive(message -> {
            if (message.kind == PartMessage.VOTE || message.kind == PartMessage.PRE_VOTE)
                message.logTerm = Long.MAX_VALUE;
        });
    }

    /** Shifts the time stamp of acknowledgements, so that a leader believes that its lease lasts longer. */
    static Plant stampingAhead() {
        return onReceive(message -> {
            if (message.kind == PartMessage.APPEND_REPLY) message.stamp += STAMP_SHIFT_MICROS;
        });
    }

    /** Stores other command bodies in slot 2. */
    static Plant altering() {
        return new Plant() {
            @Override
            public PartMessage received(int slot, PartMessage message) {
                if (slot != 2 || message.kind != PartMessage.APPEND) return message;
                var copy = Codec.read(PartMessage.class, Codec.write(message));
                for (var entry : copy.entries) if (entry.type == Entry.COMMAND) entry.body[0] ^= 1;
                return copy;
            }
        };
    }

    /**
     * Turns commands into membership changes at the followers, as if the leader proposed them without waiting for one
     * another.
     */
    static Plant changingAtWill() {
        return onReceive(message -> {
            for (var entry : message.entries) {
                if (entry.type != Entry.COMMAND) continue;
                entry.type = Entry.MEMBERSHIP;
                entry.body = Codec.write(Members.of(new long[] {1, 2, 3}, new String[] {"z1", "z2", "z3"}));
            }
        });
    }
}
