package craneway.state.record;

import craneway.model.unit.Hash;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;

/**
 * Tells whether a configuration that is sent is the one that was taken under its number: the first 128 bits of the SHA-256
 * of what it builds on and of its text as it was sent. The newest 2,000 are remembered. A hash of 64 bits is kept beside it, by
 * which older processes tell configurations apart, and by which those from their snapshots are still known.
 */
record Fingerprint(byte[] digest, long hash) {
    static final int REMEMBERED = 2_000;

    private static final int BYTES = 16;

    static Fingerprint of(String source, long base) {
        try {
            var sha = MessageDigest.getInstance("SHA-256");
            sha.update(ByteBuffer.allocate(Long.BYTES).putLong(base).array());
            var whole = sha.digest(source.getBytes(StandardCharsets.UTF_8));
            return new Fingerprint(Arrays.copyOf(whole, BYTES), Hash.of(Hash.of(source), base));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    boolean isThatOf(long number, Rows.Manifest m) {
        var known = m.digests.get(number);
        if (known != null) return Arrays.equals(known, digest);
        var old = m.legacyHashes.get(number);
        return old != null && old == hash;
    }

    void remember(long number, Rows.Manifest m) {
        m.digests.put(number, digest);
        m.legacyHashes.put(number, hash);
        while (m.legacyHashes.size() > REMEMBERED)
            m.digests.remove(m.legacyHashes.pollFirstEntry().getKey());
    }
}
