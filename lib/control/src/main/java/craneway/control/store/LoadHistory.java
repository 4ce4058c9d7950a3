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
        var m = now / MINUTE_MICROS;
        var p = peaksByService.computeIfAbsent(service, k -> new MinutePeaks(m));
        while (p.lastMinute < m) p.peakByMinute[(int) (++p.lastMinute % HISTORY_MINUTES)] = 0;
        var i = (int) (m % HISTORY_MINUTES);
        p.peakByMinute[i] = Math.max(p.peakByMinute[i], load);
    }

    int[] peaksNewestFirst(String service) {
        var p = peaksByService.get(service);
        if (p == null) return new int[0];
        var n = (int) Math.min(HISTORY_MINUTES, p.lastMinute - p.firstMinute + 1);
        var all = new int[n];
        Arrays.setAll(all, i -> p.peakByMinute[(int) Math.floorMod(p.lastMinute - i, (long) HISTORY_MINUTES)]);
        return all;
    }

    void clear() {
        peaksByService.clear();
    }
}
