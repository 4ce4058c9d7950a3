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
record ConfigurationFingerprint(byte[] digest, long legacyHash) {
    static final int MAX_REMEMBERED = 2_000;

    private static final int DIGEST_BYTES = 16;

    static ConfigurationFingerprint of(String source, long base) {
        try {
            var sha = MessageDigest.getInstance("SHA-256");
            sha.update(ByteBuffer.allocate(Long.BYTES).putLong(base).array());
            var whole = sha.digest(source.getBytes(StandardCharsets.UTF_8));
            return new ConfigurationFingerprint(Arrays.copyOf(whole, DIGEST_BYTES), Hash.of(Hash.of(source), base));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    boolean matchesRecorded(long number, Rows.Manifest m) {
        var known = m.digests.get(number);
        if (known != null) return Arrays.equals(known, digest);
        var old = m.taken.get(number);
        return old != null && old == legacyHash;
    }

    void remember(long number, Rows.Manifest m) {
        m.digests.put(number, digest);
        m.taken.put(number, legacyHash);
        while (m.taken.size() > MAX_REMEMBERED)
            m.digests.remove(m.taken.pollFirstEntry().getKey());
    }
}
