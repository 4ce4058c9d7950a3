package craneway.state.record;

import craneway.model.unit.Hash;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;

/**
 * Identifies a submitted configuration, to recognize a copy of one that was already accepted under its number. The
 * digest is the first 128 bits of the SHA-256 of the base version and the text as submitted. The newest {@link
 * #MAX_REMEMBERED} are remembered.
 *
 * <p>A 64-bit hash is kept beside the digest: older processes compare configurations by it, and configurations from
 * their snapshots are recognized by it.
 */
record ConfigurationFingerprint(byte[] digest, long legacyHash) {
    static final int MAX_REMEMBERED = 2_000;

    private static final int DIGEST_BYTES = 16;

    /** Computes the fingerprint of a configuration text and the version it is based on. */
    static ConfigurationFingerprint of(String source, long base) {
        try {
            var sha256 = MessageDigest.getInstance("SHA-256");
            sha256.update(ByteBuffer.allocate(Long.BYTES).putLong(base).array());
            var fullDigest = sha256.digest(source.getBytes(StandardCharsets.UTF_8));
            return new ConfigurationFingerprint(
                    Arrays.copyOf(fullDigest, DIGEST_BYTES), Hash.of(Hash.of(source), base));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns whether this is the fingerprint of the configuration accepted under the number. */
    boolean matchesRecorded(long number, Rows.Manifest manifest) {
        var recordedDigest = manifest.digests.get(number);
        if (recordedDigest != null) return Arrays.equals(recordedDigest, digest);
        var recordedHash = manifest.legacyHashes.get(number);
        return recordedHash != null && recordedHash == legacyHash;
    }

    /** Records this fingerprint under the number and drops the oldest ones. */
    void remember(long number, Rows.Manifest manifest) {
        manifest.digests.put(number, digest);
        manifest.legacyHashes.put(number, legacyHash);
        while (manifest.legacyHashes.size() > MAX_REMEMBERED)
            manifest.digests.remove(manifest.legacyHashes.pollFirstEntry().getKey());
    }
}
