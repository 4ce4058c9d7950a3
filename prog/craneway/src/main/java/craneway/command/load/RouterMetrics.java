package craneway.command.load;

import craneway.command.OperatorClient;
import io.undertow.util.Methods;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;

final class RouterMetrics {
    private long requestsAccepted;
    private long requestsForwardedIn;
    private long extraTries;

    RouterMetrics(OperatorClient web, List<String> operators) {
        for (var a : operators) {
            String text;
            try {
                text = web.call(List.of(a), Methods.GET, "/metrics", Map.of(), "")
                        .text();
            } catch (craneway.command.CommandFailure e) {
                continue;
            }
            requestsAccepted += sumOfMetric(text, "craneway_transactions_taken_total");
            requestsForwardedIn += sumOfMetric(text, "craneway_transactions_forwarded_in_total");
            extraTries += sumOfMetric(text, "craneway_extra_tries_total");
        }
    }

    private static long sumOfMetric(String text, String name) {
        return text.lines()
                .filter(l -> l.startsWith(name + " "))
                .mapToLong(l ->
                        (long) Double.parseDouble(l.substring(name.length() + 1).trim()))
                .sum();
    }

    void printExtraTriesSince(PrintStream o, RouterMetrics later) {
        var real = later.requestsAccepted - later.requestsForwardedIn - requestsAccepted + requestsForwardedIn;
        if (real > 0)
            o.printf(
                    "extra tries %d for %d transactions, ratio %.4f%n",
                    later.extraTries - extraTries, real, (later.extraTries - extraTries) / (double) real);
    }
}
