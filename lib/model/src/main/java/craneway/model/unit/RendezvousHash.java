package craneway.model.unit;

import java.util.Collection;

/** Rendezvous (highest random weight) hashing: adding or removing a name moves only the keys of that name. */
public final class RendezvousHash {
    private RendezvousHash() {}

    /** Returns the name with the greatest weight for this topic, or null if there are no names. */
    public static String pick(String topic, Collection<String> names) {
        var topicHash = Hash.of(topic);
        String best = null;
        var bestWeight = 0L;
        for (var name : names) {
            var weight = weight(topicHash, name);
            if (best == null || Long.compareUnsigned(weight, bestWeight) > 0) {
                best = name;
                bestWeight = weight;
            }
        }
        return best;
    }

    /** Returns the weight of the name with this hash for a key. Weights are compared as unsigned numbers. */
    public static long weight(long key, long nameHash) {
        return Hash.of(key, nameHash);
    }

    /** Returns the weight of a name for a key. Weights are compared as unsigned numbers. */
    public static long weight(long key, String name) {
        return Hash.of(key, Hash.of(name));
    }
}
