package craneway.process;

import craneway.control.store.Store;
import craneway.data.router.Router;
import java.util.TreeMap;

final class Metrics {
    private static final String MANIFEST = "version of the manifest in force on this node";

    private Metrics() {}

    static String of(Router r) {
        var c = r.requestExecutor().counters();
        var verdicts = new TreeMap<String, Long>();
        c.problemCounts().forEach((k, v) -> verdicts.put(k.toLowerCase(), v));
        var tables = new TreeMap<String, Long>();
        r.membership().view().services().values().forEach(s -> tables.put(s.name, s.tableVersion));
        return new MetricsText()
                .counter("transactions_taken", "transactions taken, forwarded ones included", c.accepted.get())
                .counter("transactions_forwarded_in", "of these, forwarded by another router", c.forwardedIn.get())
                .counter(
                        "transactions_forwarded_out",
                        "transactions forwarded to a router of the home region",
                        c.forwardedOut.get())
                .counter("transactions_buffered", "times a transaction waited in the buffer", c.buffered.get())
                .counter("runner_dispatches", "streams asked of runners", c.dispatched.get())
                .counter("extra_tries", "tries beyond the first", c.retries.get())
                .counter("streams_whole", "streams passed on to their end", c.completedStreams.get())
                .counter("streams_cut", "streams visibly cut", c.cutStreams.get())
                .gauge(
                        "transactions_open",
                        "transactions in this router now",
                        r.requestExecutor().openRequests())
                .counters("verdicts", "verdicts told, by kind", "kind", verdicts)
                .gauge("manifest_version", MANIFEST, r.membership().view().manifestRow().version)
                .gauges("table_version", "version of a service's table on this node", "service", tables)
                .text();
    }

    static String of(Store s) {
        var owned = new TreeMap<String, Long>();
        var applied = new TreeMap<String, Long>();
        for (var k : s.replicas()) {
            owned.put(Integer.toString(k.group().part()), k.isLeader() ? 1L : 0L);
            applied.put(Integer.toString(k.group().part()), k.group().appliedIndex());
        }
        return new MetricsText()
                .gauge("manifest_version", MANIFEST, s.membership().view().manifestRow().version)
                .gauges("part_owned", "1 if this store owns the part", "part", owned)
                .gauges("part_applied", "last log entry applied", "part", applied)
                .text();
    }
}
