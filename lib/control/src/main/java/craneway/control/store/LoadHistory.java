package craneway.control.store;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * The highest load of each service in each minute of the last two hours, as the leader of its part has seen it. Not
 * safe for several threads.
 */
final class LoadHistory {
    /** How many minutes are remembered. */
    static final int HISTORY_MINUTES = 120;

    private static final long MINUTE_MICROS = 60_000_000;

    /** A ring of peaks, indexed by minute modulo the length of the history. */
    private static final class MinutePeaks {
        final int[] peakByMinute = new int[HISTORY_MINUTES];
        final long firstMinute;
        long lastMinute;

        MinutePeaks(long minute) {
            this.firstMinute = this.lastMinute = minute;
        }
    }

    private final Map<String, MinutePeaks> peaksByService = new HashMap<>();

    /** Records the current load of a service; minutes without a record count as 0. */
    void record(String service, int load, long now) {
        var currentMinute = now / MINUTE_MICROS;
        var peaks = peaksByService.computeIfAbsent(service, name -> new MinutePeaks(currentMinute));
        while (peaks.lastMinute < currentMinute) peaks.peakByMinute[(int) (++peaks.lastMinute % HISTORY_MINUTES)] = 0;
        var slot = (int) (currentMinute % HISTORY_MINUTES);
        peaks.peakByMinute[slot] = Math.max(peaks.peakByMinute[slot], load);
    }

    /** The peak load of each minute, the current minute first; empty for an unknown service. */
    int[] peaksNewestFirst(String service) {
        var peaks = peaksByService.get(service);
        if (peaks == null) return new int[0];
        var count = (int) Math.min(HISTORY_MINUTES, peaks.lastMinute - peaks.firstMinute + 1);
        var newestFirst = new int[count];
        Arrays.setAll(newestFirst, minutesAgo -> peaks.peakByMinute[
                (int) Math.floorMod(peaks.lastMinute - minutesAgo, (long) HISTORY_MINUTES)]);
        return newestFirst;
    }

    /** Forgets everything. */
    void clear() {
        peaksByService.clear();
    }
}
