package craneway.sim.history;

import craneway.model.unit.Parts;
import craneway.sim.Simulation;
import craneway.state.record.Rows;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Stores that break the rules, each in one way, so that the checker is seen to find it. */
final class DoctoredOffice {
    private static final long CACHED = 2_000_000;
    private static final long COPY = 3_000_000;

    private DoctoredOffice() {}

    /** Reads back what it holds itself, without contact with anyone. */
    static Office readsWithoutContact() {
        return new Office() {
            @Override
            void take(StoreNode at, Request q, Consumer<Answer> then) {
                var keepers = at.store().replicas();
                if (q.configures() || q.marks() || keepers.length == 0) super.take(at, q, then);
                else
                    then.accept(new Answer(
                            200, keepers[Parts.MANIFEST_PART].records().rows().manifest));
            }
        };
    }

    /** Confirms a configuration as long as the number in force is its own. */
    static Office confirmsByNumber() {
        return new Office() {
            @Override
            void configure(StoreNode at, Request q, Consumer<Answer> then) {
                super.configure(at, q, a -> {
                    if (a.status() != 412) then.accept(a);
                    else
                        at.passing().readManifest(r -> {
                            var same = r.isRight() && r.get().version == q.number();
                            then.accept(same ? Answer.of(200) : a);
                        });
                });
            }
        };
    }

    /** Doesn't know a configuration again that it has taken. */
    static Office knowsNoneAgain() {
        return new Office() {
            private int count;

            @Override
            String source(Request q) {
                return super.source(q) + ++count;
            }
        };
    }

    /** Confirms a configuration that no majority has answered for. */
    static Office confirmsAlone() {
        return new Office() {
            @Override
            void configure(StoreNode at, Request q, Consumer<Answer> then) {
                super.configure(at, q, a -> then.accept(a.status() == 503 ? Answer.of(200) : a));
            }
        };
    }

    /** Reads back for a while what it read before. */
    static Office readsFromMemory() {
        return new Office() {
            private final Map<String, Rows.Manifest> last = new HashMap<>();
            private final Map<String, Long> at = new HashMap<>();

            @Override
            void take(StoreNode node, Request q, Consumer<Answer> then) {
                var kept = node.now() - at.getOrDefault(node.name, Long.MIN_VALUE / 2) < CACHED;
                if (q.configures() || q.marks()) super.take(node, q, then);
                else if (kept) then.accept(new Answer(200, last.get(node.name)));
                else
                    super.take(node, q, a -> {
                        if (a.ok()) {
                            last.put(node.name, a.manifest());
                            at.put(node.name, node.now());
                        }
                        then.accept(a);
                    });
            }
        };
    }

    /** Passes a zone's order on a second time, seconds later. */
    static Office copiesZoneOrders(Simulation[] sim) {
        return new Office() {
            @Override
            void take(StoreNode at, Request q, Consumer<Answer> then) {
                super.take(at, q, then);
                if (q.marks()) sim[0].scheduleAfter(COPY, () -> at.run(() -> super.take(at, q, a -> {})));
            }
        };
    }
}
