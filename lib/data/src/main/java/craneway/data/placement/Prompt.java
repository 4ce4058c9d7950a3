package craneway.data.placement;

import craneway.model.unit.Hash;
import craneway.model.unit.Units;
import java.util.Arrays;

/**
 * The size of a prompt and the parts it is made of, as far as placement needs them.
 *
 * <p>The parts come in prompt order, each as the hash of its id ({@link Prompt#partIds}) and its number of tokens
 * ({@link Prompt#partTokens}). All parts but the last may be shared with other requests; the last one is the request's
 * own. {@link Prompt#promptTokens} is the number of tokens of the whole prompt, and
 * {@link Prompt#outputTokens} the number of tokens that the client states for the response.
 */
public record Prompt(long[] partIds, int[] partTokens, int promptTokens, int outputTokens) {
    private static final int MAX_PROMPT_PARTS = 64;

    /** From this number of tokens on, a prompt counts as long. */
    private static final int LONG_PROMPT_TOKENS = 4_000;

    /** Larger token counts of a part or a prompt are reduced to this value. */
    private static final int MAX_PROMPT_TOKENS = 100_000_000;

    /**
     * Parses the headers of a request; malformed input is read as if it were missing.
     *
     * @param parts the parts as {@code id:tokens}, separated by commas, or null; more than 64 parts are read as
     *     none
     * @param tokenCounts the prompt's tokens and the response's tokens, separated by a comma, or null
     */
    public static Prompt parse(String parts, String tokenCounts) {
        var inputTokens = 0;
        var outputTokens = 0;
        if (tokenCounts != null) {
            var comma = tokenCounts.indexOf(',');
            inputTokens = parseTokens(comma < 0 ? tokenCounts : tokenCounts.substring(0, comma));
            outputTokens = comma < 0 ? 0 : parseTokens(tokenCounts.substring(comma + 1));
        }
        if (parts == null || parts.isBlank()) return new Prompt(new long[0], new int[0], inputTokens, outputTokens);
        var items = parts.split(",", MAX_PROMPT_PARTS + 1);
        if (items.length > MAX_PROMPT_PARTS) return new Prompt(new long[0], new int[0], inputTokens, outputTokens);
        var idHashes = new long[items.length];
        var sizes = new int[items.length];
        var totalTokens = 0;
        for (var i = 0; i < items.length; i++) {
            var colon = items[i].lastIndexOf(':');
            idHashes[i] = Hash.of(
                    colon < 0 ? items[i].trim() : items[i].substring(0, colon).trim());
            sizes[i] = colon < 0 ? 0 : parseTokens(items[i].substring(colon + 1));
            totalTokens += sizes[i];
        }
        return new Prompt(idHashes, sizes, Math.max(inputTokens, totalTokens), outputTokens);
    }

    private static int parseTokens(String text) {
        try {
            return Math.max(0, Math.min(MAX_PROMPT_TOKENS, Integer.parseInt(text.trim())));
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** Returns the number of parts that may be shared with other requests: all but the last. */
    public int sharedPartCount() {
        return Math.max(0, partIds.length - 1);
    }

    /**
     * Returns the key that determines the unit and the preferred runner: the id hash of the last shared part, that
     * of the only part if there is just one, or 0 without parts.
     */
    public long affinityKey() {
        if (partIds.length == 0) return 0;
        return partIds[Math.max(0, partIds.length - 2)];
    }

    /** Returns the id hashes of the shared parts. */
    public long[] sharedPartIds() {
        return Arrays.copyOf(partIds, sharedPartCount());
    }

    /** Returns the tokens of each shared part, in the order of {@link Prompt#sharedPartIds}. */
    public int[] sharedPartTokens() {
        return Arrays.copyOf(partTokens, sharedPartCount());
    }

    /** Returns the number of tokens of all shared parts together. */
    public int sharedTokenCount() {
        var sum = 0;
        for (var i = 0; i < sharedPartCount(); i++) sum += partTokens[i];
        return sum;
    }

    /** Returns whether the prompt is so long that its prefill noticeably delays all streams of its runner. */
    public boolean isLong() {
        return promptTokens >= LONG_PROMPT_TOKENS;
    }

    /** Returns the slice of the prompt's unit, from 0 to {@link Units#SLICE_COUNT} - 1. */
    public int unitSlice() {
        return Hash.bucket(Hash.mix(affinityKey()), Units.SLICE_COUNT);
    }
}
