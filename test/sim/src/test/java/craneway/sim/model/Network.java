package craneway.sim.model;

import craneway.model.unit.Hash;
import java.util.List;

/**
 * Decides when a message arrives. This is drawn from the message's label, so that a shortened history keeps the fate of
 * each message.
 */
final class Network {
    private static final int DRAW_OUTCOMES = 1_000;
    private static final long USUAL_DELAY_SPREAD_MICROS = 4_000;
    private static final long MAX_LATE_DELAY_MICROS = 900_000;

    private final long seed;
    private final int faultsPerThousand;

    Network(long seed, int faultsPerThousand) {
        this.seed = seed;
        this.faultsPerThousand = faultsPerThousand;
    }

    /** The times at which the message arrives: none if it is lost, two if it is duplicated. */
    List<Long> arrivals(String label, long now) {
        var hash = Hash.of(seed, label.hashCode());
        var soon = now + 200 + Hash.bucket(Hash.of(hash, 1), (int) USUAL_DELAY_SPREAD_MICROS);
        var late = now + Hash.bucket(Hash.of(hash, 2), (int) MAX_LATE_DELAY_MICROS);
        var draw = Hash.bucket(Hash.of(hash, 3), DRAW_OUTCOMES);
        if (draw < faultsPerThousand) return List.of();
        if (draw < 2 * faultsPerThousand) return List.of(late);
        return draw < 3 * faultsPerThousand ? List.of(soon, late) : List.of(soon);
    }

    /**
     * Whether the member in this slot ticks before it receives its messages in the round that ends at the given time.
     */
    boolean ticksFirst(int slot, long now) {
        return Hash.bucket(Hash.of(Hash.of(seed, slot), now), 2) == 0;
    }
}
