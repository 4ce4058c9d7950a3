package craneway.model.unit;

import java.util.Collection;

/** Rendezvous (highest random weight) hashing: a name that goes or comes moves only its own keys. */
public final class RendezvousHash {
    private RendezvousHash() {}

    /** The name with the greatest weight for this topic, or null where there are none. */
    public static String pick(String topic, Collection<String> names) {
        var h = Hash.of(topic);
        String best = null;
        var most = 0L;
        for (var n : names) {
            var w = weight(h, n);
            if (best == null || Long.compareUnsigned(w, most) > 0) {
                best = n;
                most = w;
            }
        }
        return best;
    }

    /** The same for a name whose hash is known. */
    public static long weight(long key, long nameHash) {
        return Hash.of(key, nameHash);
    }

    /** The weight of a name for a key; compared as unsigned. */
    public static long weight(long key, String name) {
        return Hash.of(key, Hash.of(name));
    }
}
