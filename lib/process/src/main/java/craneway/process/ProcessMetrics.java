package craneway.process;

import craneway.control.store.Store;
import craneway.data.router.Router;
import java.util.TreeMap;

/** The metrics page of a router or a store, in the Prometheus text format. */
final class ProcessMetrics {
    private static final String MANIFEST_VERSION_HELP = "version of the manifest in force on this node";

    private ProcessMetrics() {}

    /** Returns the current metrics of a router. */
    static String render(Router router) {
        var counters = router.requestExecutor().counters();
        var problemCounts = new TreeMap<String, Long>();
        counters.problemCounts().forEach((kind, count) -> problemCounts.put(kind.toLowerCase(), count));
        var tableVersions = new TreeMap<String, Long>();
        router.membership().view().services().values().forEach(s -> tableVersions.put(s.name, s.tableVersion));
        return new PrometheusText()
                .addCounter(
                        "transactions_taken", "transactions taken, forwarded ones included", counters.accepted.get())
                .addCounter(
                        "transactions_forwarded_in",
                        "of these, forwarded by another router",
                        counters.forwardedIn.get())
                .addCounter(
                        "transactions_forwarded_out",
                        "transactions forwarded to a router of the home region",
                        counters.forwardedOut.get())
                .addCounter(
                        "transactions_buffered", "times a transaction waited in the buffer", counters.buffered.get())
                .addCounter("runner_dispatches", "streams asked of runners", counters.dispatched.get())
                .addCounter("extra_tries", "tries beyond the first", counters.retries.get())
                .addCounter("streams_whole", "streams passed on to their end", counters.completedStreams.get())
                .addCounter("streams_cut", "streams visibly cut", counters.cutStreams.get())
                .addGauge(
                        "transactions_open",
                        "transactions in this router now",
                        router.requestExecutor().openRequests())
                .addCounters("verdicts", "verdicts told, by kind", "kind", problemCounts)
                .addGauge(
                        "manifest_version",
                        MANIFEST_VERSION_HELP,
                        router.membership().view().manifestRow().version)
                .addGauges("table_version", "version of a service's table on this node", "service", tableVersions)
                .render();
    }

    /** Returns the current metrics of a store. */
    static String render(Store store) {
        var ownedByPart = new TreeMap<String, Long>();
        var appliedByPart = new TreeMap<String, Long>();
        for (var replica : store.replicas()) {
            ownedByPart.put(Integer.toString(replica.group().part()), replica.isLeader() ? 1L : 0L);
            appliedByPart.put(
                    Integer.toString(replica.group().part()), replica.group().appliedIndex());
        }
        return new PrometheusText()
                .addGauge(
                        "manifest_version",
                        MANIFEST_VERSION_HELP,
                        store.membership().view().manifestRow().version)
                .addGauges("part_owned", "1 if this store owns the part", "part", ownedByPart)
                .addGauges("part_applied", "last log entry applied", "part", appliedByPart)
                .render();
    }
}
