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

/** Members that are faulty on purpose, by what they say, take in or find on their disk. */
final class Plants {
    private static final long AHEAD = 5_000_000;

    private Plants() {}

    private static Plant onDisk(Consumer<SegmentLog> then) {
        return new Plant() {
            @Override
            public void starting(int slot, ProbedDisk disk) {
                if (disk.folder().fileNames().isEmpty()) return;
                var log = new SegmentLog(disk.folder(), "p" + World.PART + ".", Long.hashCode(World.CORE));
                try {
                    then.accept(log);
                    log.sync();
                } catch (DiskException e) {
                    disk.full(true);
                }
            }
        };
    }

    private static Plant onReceive(Consumer<PartMessage> then) {
        return new Plant() {
            @Override
            public PartMessage received(int slot, PartMessage m) {
                var copy = Codec.decode(PartMessage.class, Codec.encode(m));
                then.accept(copy);
                return copy;
            }
        };
    }

    private static Plant onSend(Consumer<PartMessage> then) {
        return new Plant() {
            @Override
            public PartMessage sent(int slot, PartMessage m) {
                then.accept(m);
                return m;
            }
        };
    }

    static Plant forgettingVotes() {
        return onDisk(log -> log.saveTermAndVote(log.currentTerm(), 0));
    }

    static Plant forgettingTerms() {
        return onDisk(log -> log.saveTermAndVote(Math.max(0, log.currentTerm() - 1), 0));
    }

    static Plant forgettingEntries() {
        return onDisk(log -> log.truncateFrom(Math.max(log.firstIndex(), log.lastIndex() - 3)));
    }

    static Plant sayingYes() {
        return onSend(m -> {
            if (m.kind == PartMessage.VOTE_REPLY) m.granted = true;
        });
    }

    static Plant refusing() {
        return onSend(m -> {
            if (m.kind == PartMessage.VOTE_REPLY || m.kind == PartMessage.PRE_VOTE_REPLY) m.granted = false;
        });
    }

    static Plant lyingAboutSync() {
        return new Plant() {
            @Override
            public void starting(int slot, ProbedDisk disk) {
                disk.lieAboutSync();
            }
        };
    }

    /** Takes no entry in, and says that it has all that it was ever sent. */
    static Plant hollow() {
        return new Plant() {
            private final Map<Integer, Long> claimed = new HashMap<>();

            @Override
            public PartMessage received(int slot, PartMessage m) {
                if (m.kind != PartMessage.APPEND || m.entries.isEmpty()) return m;
                var copy = Codec.decode(PartMessage.class, Codec.encode(m));
                claimed.merge(slot, m.entries.get(m.entries.size() - 1).index, Math::max);
                copy.entries.clear();
                return copy;
            }

            @Override
            public PartMessage sent(int slot, PartMessage m) {
                if (m.kind != PartMessage.APPEND_REPLY) return m;
                m.granted = true;
                m.index = claimed.getOrDefault(slot, 0L);
                return m;
            }
        };
    }

    static Plant votingForStaleLogs() {
        return onReceive(m -> {
            if (m.kind == PartMessage.VOTE || m.kind == PartMessage.PRE_VOTE) m.logTerm = Long.MAX_VALUE;
        });
    }

    static Plant stampingAhead() {
        return onReceive(m -> {
            if (m.kind == PartMessage.APPEND_REPLY) m.sentAt += AHEAD;
        });
    }

    static Plant altering() {
        return new Plant() {
            @Override
            public PartMessage received(int slot, PartMessage m) {
                if (slot != 2 || m.kind != PartMessage.APPEND) return m;
                var copy = Codec.decode(PartMessage.class, Codec.encode(m));
                for (var e : copy.entries) if (e.type == LogEntry.COMMAND) e.body[0] ^= 1;
                return copy;
            }
        };
    }

    /** Commands reach the followers as changes of the group, as if the leader proposed those without waiting. */
    static Plant changingAtWill() {
        return onReceive(m -> {
            for (var e : m.entries) {
                if (e.type != LogEntry.COMMAND) continue;
                e.type = LogEntry.MEMBERSHIP;
                e.body = Codec.encode(Members.of(new long[] {1, 2, 3}, new String[] {"z1", "z2", "z3"}));
            }
        });
    }
}
