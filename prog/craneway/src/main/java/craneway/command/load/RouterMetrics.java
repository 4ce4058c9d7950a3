package craneway.command.load;

import craneway.command.OperatorClient;
import io.undertow.util.Methods;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;

/** Request counters, read once from the routers' metrics and summed over the routers. */
final class RouterMetrics {
    private long requestsAccepted;
    private long requestsForwardedIn;
    private long extraTries;

    /** Reads the metrics now; routers that do not reply are left out. */
    RouterMetrics(OperatorClient client, List<String> operatorAddresses) {
        for (var address : operatorAddresses) {
            String metricsText;
            try {
                metricsText = client.request(List.of(address), Methods.GET, "/metrics", Map.of(), "")
                        .text();
            } catch (craneway.command.CommandException e) {
                continue;
            }
            requestsAccepted += sumOfMetric(metricsText, "craneway_transactions_taken_total");
            requestsForwardedIn += sumOfMetric(metricsText, "craneway_transactions_forwarded_in_total");
            extraTries += sumOfMetric(metricsText, "craneway_extra_tries_total");
        }
    }

    private static long sumOfMetric(String metricsText, String name) {
        return metricsText
                .lines()
                .filter(line -> line.startsWith(name + " "))
                .mapToLong(line -> (long)
                        Double.parseDouble(line.substring(name.length() + 1).trim()))
                .sum();
    }

    /**
     * Prints the ratio of additional attempts to requests between this reading and a later one. A forwarded request is
     * counted by two routers, so forwards are subtracted.
     */
    void printExtraTriesUntil(PrintStream out, RouterMetrics later) {
        var requestCount = later.requestsAccepted - later.requestsForwardedIn - requestsAccepted + requestsForwardedIn;
        if (requestCount > 0)
            out.printf(
                    "extra tries %d for %d transactions, ratio %.4f%n",
                    later.extraTries - extraTries,
                    requestCount,
                    (later.extraTries - extraTries) / (double) requestCount);
    }
}
