package craneway.command.load;

import craneway.command.OperatorClient;
import io.undertow.util.Methods;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;

final class Ratios {
    private long taken;
    private long forwardedIn;
    private long extra;

    Ratios(OperatorClient web, List<String> operators) {
        for (var a : operators) {
            String text;
            try {
                text = web.request(List.of(a), Methods.GET, "/metrics", Map.of(), "")
                        .text();
            } catch (craneway.command.CommandException e) {
                continue;
            }
            taken += value(text, "craneway_transactions_taken_total");
            forwardedIn += value(text, "craneway_transactions_forwarded_in_total");
            extra += value(text, "craneway_extra_tries_total");
        }
    }

    private static long value(String text, String name) {
        return text.lines()
                .filter(l -> l.startsWith(name + " "))
                .mapToLong(l ->
                        (long) Double.parseDouble(l.substring(name.length() + 1).trim()))
                .sum();
    }

    void print(PrintStream o, Ratios later) {
        var real = later.taken - later.forwardedIn - taken + forwardedIn;
        if (real > 0)
            o.printf(
                    "extra tries %d for %d transactions, ratio %.4f%n",
                    later.extra - extra, real, (later.extra - extra) / (double) real);
    }
}
