package craneway.data.placement;

import craneway.model.unit.Hash;
import craneway.model.unit.Units;
import java.util.Arrays;

/** The parts of a prompt in order, by id and tokens; the last one is the request's own. Bad input reads as no parts. */
public record Prompt(long[] partIds, int[] partTokens, int promptTokens, int outputTokens) {
    private static final int MOST = 64, LONG = 4_000, MOST_TOKENS = 100_000_000;

    public static Prompt parse(String parts, String inOut) {
        var in = 0;
        var out = 0;
        if (inOut != null) {
            var at = inOut.indexOf(',');
            in = number(at < 0 ? inOut : inOut.substring(0, at));
            out = at < 0 ? 0 : number(inOut.substring(at + 1));
        }
        if (parts == null || parts.isBlank()) return new Prompt(new long[0], new int[0], in, out);
        var all = parts.split(",", MOST + 1);
        if (all.length > MOST) return new Prompt(new long[0], new int[0], in, out);
        var ids = new long[all.length];
        var tokens = new int[all.length];
        var sum = 0;
        for (var i = 0; i < all.length; i++) {
            var at = all[i].lastIndexOf(':');
            ids[i] = Hash.of(at < 0 ? all[i].trim() : all[i].substring(0, at).trim());
            tokens[i] = at < 0 ? 0 : number(all[i].substring(at + 1));
            sum += tokens[i];
        }
        return new Prompt(ids, tokens, Math.max(in, sum), out);
    }

    private static int number(String s) {
        try {
            return Math.max(0, Math.min(MOST_TOKENS, Integer.parseInt(s.trim())));
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** How many parts are shared between requests: all but the last. */
    public int sharedPartCount() {
        return Math.max(0, partIds.length - 1);
    }

    /** The key that draws the unit: the last shared part, or the request's own where there is none. */
    public long affinityKey() {
        if (partIds.length == 0) return 0;
        return partIds[Math.max(0, partIds.length - 2)];
    }

    public long[] sharedPartIds() {
        return Arrays.copyOf(partIds, sharedPartCount());
    }

    public int[] sharedPartTokens() {
        return Arrays.copyOf(partTokens, sharedPartCount());
    }

    public int sharedTokenCount() {
        var sum = 0;
        for (var i = 0; i < sharedPartCount(); i++) sum += partTokens[i];
        return sum;
    }

    /** Reading it holds up every stream of its runner for a while. */
    public boolean isLong() {
        return promptTokens >= LONG;
    }

    public int unitSlice() {
        return Hash.bucket(Hash.mix(affinityKey()), Units.SLICE_COUNT);
    }
}
