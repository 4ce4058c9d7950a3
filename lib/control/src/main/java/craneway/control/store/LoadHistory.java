package craneway.control.store;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

final class LoadHistory {
    static final int HISTORY_MINUTES = 120;
    private static final long MINUTE_MICROS = 60_000_000;

    private static final class MinutePeaks {
        final int[] peakByMinute = new int[HISTORY_MINUTES];
        final long firstMinute;
        long lastMinute;

        MinutePeaks(long minute) {
            this.firstMinute = this.lastMinute = minute;
        }
    }

    private final Map<String, MinutePeaks> peaksByService = new HashMap<>();

    void record(String service, int load, long now) {
        var currentMinute = now / MINUTE_MICROS;
        var peaks = peaksByService.computeIfAbsent(service, name -> new MinutePeaks(currentMinute));
        while (peaks.lastMinute < currentMinute) peaks.peakByMinute[(int) (++peaks.lastMinute % HISTORY_MINUTES)] = 0;
        var slot = (int) (currentMinute % HISTORY_MINUTES);
        peaks.peakByMinute[slot] = Math.max(peaks.peakByMinute[slot], load);
    }

    int[] peaksNewestFirst(String service) {
        var peaks = peaksByService.get(service);
        if (peaks == null) return new int[0];
        var count = (int) Math.min(HISTORY_MINUTES, peaks.lastMinute - peaks.firstMinute + 1);
        var newestFirst = new int[count];
        Arrays.setAll(newestFirst, minutesAgo -> peaks.peakByMinute[
                (int) Math.floorMod(peaks.lastMinute - minutesAgo, (long) HISTORY_MINUTES)]);
        return newestFirst;
    }

    void clear() {
        peaksByService.clear();
    }
}
