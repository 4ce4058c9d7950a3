package craneway.process;

import craneway.control.store.Store;
import craneway.data.router.Router;
import java.util.TreeMap;

final class ProcessMetrics {
    private static final String MANIFEST = "version of the manifest in force on this node";

    private ProcessMetrics() {}

    static String render(Router r) {
        var c = r.executor().counts();
        var verdicts = new TreeMap<String, Long>();
        c.verdicts().forEach((k, v) -> verdicts.put(k.toLowerCase(), v));
        var tables = new TreeMap<String, Long>();
        r.membership().view().services().values().forEach(s -> tables.put(s.name, s.tableVersion));
        return new PrometheusText()
                .addCounter("transactions_taken", "transactions taken, forwarded ones included", c.taken.get())
                .addCounter("transactions_forwarded_in", "of these, forwarded by another router", c.forwardedIn.get())
                .addCounter(
                        "transactions_forwarded_out",
                        "transactions forwarded to a router of the home region",
                        c.forwardedOut.get())
                .addCounter("transactions_buffered", "times a transaction waited in the buffer", c.buffered.get())
                .addCounter("runner_dispatches", "streams asked of runners", c.dispatched.get())
                .addCounter("extra_tries", "tries beyond the first", c.extraTries.get())
                .addCounter("streams_whole", "streams passed on to their end", c.whole.get())
                .addCounter("streams_cut", "streams visibly cut", c.cut.get())
                .addGauge(
                        "transactions_open",
                        "transactions in this router now",
                        r.executor().open())
                .addCounters("verdicts", "verdicts told, by kind", "kind", verdicts)
                .addGauge("manifest_version", MANIFEST, r.membership().view().topic().version)
                .addGauges("table_version", "version of a service's table on this node", "service", tables)
                .render();
    }

    static String render(Store s) {
        var owned = new TreeMap<String, Long>();
        var applied = new TreeMap<String, Long>();
        for (var k : s.replicas()) {
            owned.put(Integer.toString(k.group().part()), k.leads() ? 1L : 0L);
            applied.put(Integer.toString(k.group().part()), k.group().applied());
        }
        return new PrometheusText()
                .addGauge("manifest_version", MANIFEST, s.membership().view().topic().version)
                .addGauges("part_owned", "1 if this store owns the part", "part", owned)
                .addGauges("part_applied", "last log entry applied", "part", applied)
                .render();
    }
}
