package craneway.command.load;

import craneway.command.CommandException;
import craneway.command.OperatorClient;
import craneway.http.Addresses;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicInteger;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code craneway load}: a load generator with several concurrent requesters. */
@Command(
        name = "load",
        description = "Submits a mix of streams and prints verdicts, times, extra tries and prefix hits. "
                + "Exit code 1 if a stream was out of order or looked complete although it was cut.")
public final class LoadCommand implements Callable<Integer> {
    @Option(
            names = "--to",
            required = true,
            split = ",",
            description = "requester addresses of the routers as IP:PORT, separated by commas")
    List<String> to;

    @Option(
            names = "--metrics",
            split = ",",
            description = "operator addresses of the routers, to read the ratio of extra tries")
    List<String> metrics = List.of();

    @Option(
            names = "--platform",
            split = ",",
            description = "platform addresses in the order of --to; a router that is not ready gets no new submissions")
    List<String> platform = List.of();

    @Option(names = "--service", required = true)
    String service;

    @Option(
            names = "--work",
            required = true,
            split = ",",
            description = "NAME:SHARE[:once], for example lookup:60,summary:30,extract:10:once")
    List<String> work;

    @Option(names = "--streams", defaultValue = "1000", description = "minimum number of submissions")
    int streams;

    @Option(names = "--at-once", defaultValue = "32", description = "number of concurrent requesters")
    int atOnce;

    @Option(names = "--tenants", defaultValue = "200")
    int tenants;

    @Option(names = "--tokens", defaultValue = "20", description = "mean number of tokens in a reply")
    int tokens;

    @Option(
            names = "--asks",
            defaultValue = "4",
            description = "maximum number of submissions of the same work, while replies ask for a retry")
    int asks;

    @Option(names = "--deadline-ms", defaultValue = "30000")
    int deadline;

    @Option(names = "--seed", defaultValue = "1")
    long seed;

    @Option(names = "--journal", description = "file for the journal of replies")
    Path journal;

    @Override
    public Integer call() throws IOException, InterruptedException {
        for (var address : to)
            if (Addresses.isInvalid(address)) throw new CommandException(2, "--to " + address + " is not IP:PORT");
        if (streams < 1 || atOnce < 1 || tenants < 1 || tokens < 1 || asks < 1)
            throw new CommandException(2, "--streams, --at-once, --tenants, --tokens and --asks must be at least 1");
        if (!platform.isEmpty() && platform.size() != to.size())
            throw new CommandException(2, "--platform needs one address for each address of --to");
        var workMix = WorkMix.parse(work);
        var report = new LoadReport(journal);
        try (var client = new OperatorClient();
                var routerSelector = new RouterSelector(client, to, platform)) {
            var metricsBefore = new RouterMetrics(client, metrics);
            runClients(client, routerSelector, workMix, report);
            report.print(System.out);
            metricsBefore.printExtraTriesUntil(System.out, new RouterMetrics(client, metrics));
        }
        report.close();
        return report.invalidStreams() > 0 ? 1 : 0;
    }

    /** Runs the clients, one thread each, until the requested number of work items is done. */
    private void runClients(OperatorClient client, RouterSelector routerSelector, WorkMix workMix, LoadReport report)
            throws InterruptedException {
        var remainingItems = new AtomicInteger(streams);
        var threads = new ArrayList<Thread>();
        for (var i = 0; i < atOnce; i++) {
            var loadClient = new LoadClient(
                    client.httpClient(),
                    routerSelector,
                    service,
                    workMix,
                    new Random(seed * 1_000 + i),
                    "r" + seed + "-" + i,
                    this.clientOptions(),
                    report);
            var thread = new Thread(
                    () -> {
                        while (remainingItems.getAndDecrement() > 0) loadClient.runWorkItem();
                    },
                    "requester-" + i);
            thread.start();
            threads.add(thread);
        }
        for (var thread : threads) thread.join();
    }

    private LoadClient.Options clientOptions() {
        return new LoadClient.Options(tenants, tokens, asks, deadline);
    }
}
