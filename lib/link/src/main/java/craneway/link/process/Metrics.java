package craneway.link.process;

import craneway.control.store.Store;
import craneway.data.router.Router;

final class Metrics {
    private Metrics() { }

    static String of(Router r) {
        var c = r.executor().counts();
        var b = new StringBuilder();
        line(b, "transactions_taken_total", c.taken.get());
        line(b, "transactions_forwarded_in_total", c.forwardedIn.get());
        line(b, "transactions_forwarded_out_total", c.forwardedOut.get());
        line(b, "transactions_buffered_total", c.buffered.get());
        line(b, "runner_dispatches_total", c.dispatched.get());
        line(b, "extra_tries_total", c.extraTries.get());
        line(b, "streams_whole_total", c.whole.get());
        line(b, "streams_cut_total", c.cut.get());
        line(b, "transactions_open", r.executor().open());
        c.verdicts().forEach((k, v) -> line(b, "verdicts_total{kind=\"" + k.toLowerCase() + "\"}", v));
        line(b, "manifest_version", r.membership().view().topic().version);
        r.membership().view().services().values().forEach(s -> line(b, "table_version{service=\"" + s.name + "\"}", s.tableVersion));
        return b.toString();
    }

    static String of(Store s) {
        var b = new StringBuilder();
        line(b, "manifest_version", s.membership().view().topic().version);
        for (var k : s.keepers()) {
            line(b, "part_owned{part=\"" + k.group().part() + "\"}", k.owns() ? 1 : 0);
            line(b, "part_applied{part=\"" + k.group().part() + "\"}", k.group().applied());
        }
        return b.toString();
    }

    private static void line(StringBuilder b, String name, long v) { b.append("craneway_").append(name).append(' ').append(v).append('\n'); }
}
