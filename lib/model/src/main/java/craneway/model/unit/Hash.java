package craneway.model.unit;

import java.nio.charset.StandardCharsets;

/** Hash functions that give the same result in every process and release, because placement depends on them. */
public final class Hash {
    private Hash() {}

    /** Returns the hash of the UTF-8 bytes of a text. */
    public static long of(String text) {
        return of(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the 64-bit FNV-1a hash of the bytes, with its bits mixed. */
    public static long of(byte[] bytes) {
        var hash = 0xcbf29ce484222325L;
        for (var b : bytes) hash = (hash ^ (b & 0xff)) * 0x100000001b3L;
        return mix(hash);
    }

    /** Returns the hash of an ordered pair of numbers. */
    public static long of(long first, long second) {
        return mix(mix(first) * 31 + second);
    }

    /** Mixes the bits so that every input bit affects all output bits (the 64-bit finalizer of MurmurHash3). */
    public static long mix(long hash) {
        hash ^= hash >>> 33;
        hash *= 0xff51afd7ed558ccdL;
        hash ^= hash >>> 33;
        hash *= 0xc4ceb9fe1a85ec53L;
        return hash ^ (hash >>> 33);
    }

    /** Returns the bucket of a hash, from 0 to {@code buckets - 1}; the hash is taken as unsigned. */
    public static int bucket(long hash, int buckets) {
        return (int) Long.remainderUnsigned(hash, buckets);
    }
}
