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

@Command(
        name = "load",
        description =
                "Drives a mix of streams and prints verdicts, times, tries and prefix hits. Exit code 1 when a stream came out of order or looked finished when it was cut.")
public final class LoadCommand implements Callable<Integer> {
    @Option(names = "--to", required = true, split = ",", description = "requester addresses, IP:PORT with commas")
    List<String> to;

    @Option(names = "--metrics", split = ",", description = "operator addresses of the routers, for the tries ratio")
    List<String> metrics = List.of();

    @Option(
            names = "--platform",
            split = ",",
            description = "platform addresses in the order of --to; a router that is not ready gets no new submission")
    List<String> platform = List.of();

    @Option(names = "--service", required = true)
    String service;

    @Option(
            names = "--work",
            required = true,
            split = ",",
            description = "NAME:SHARE[:once], for example lookup:60,summary:30,extract:10:once")
    List<String> work;

    @Option(names = "--streams", defaultValue = "1000", description = "how many submissions at least")
    int streams;

    @Option(names = "--at-once", defaultValue = "32", description = "how many requesters")
    int atOnce;

    @Option(names = "--tenants", defaultValue = "200")
    int tenants;

    @Option(names = "--tokens", defaultValue = "20", description = "tokens of a reply, on average")
    int tokens;

    @Option(
            names = "--asks",
            defaultValue = "4",
            description = "how often one requester submits the same work, coming back when told to")
    int asks;

    @Option(names = "--deadline-ms", defaultValue = "30000")
    int deadline;

    @Option(names = "--seed", defaultValue = "1")
    long seed;

    @Option(names = "--journal", description = "file for what the requesters were told")
    Path journal;

    @Override
    public Integer call() throws IOException, InterruptedException {
        for (var a : to) if (Addresses.isInvalid(a)) throw new CommandException(2, "--to " + a + " is not IP:PORT");
        if (streams < 1 || atOnce < 1 || tenants < 1 || tokens < 1 || asks < 1)
            throw new CommandException(2, "counts start at 1");
        if (!platform.isEmpty() && platform.size() != to.size())
            throw new CommandException(2, "--platform needs one address for each of --to");
        var mix = Mix.of(work);
        var report = new Report(journal);
        try (var web = new OperatorClient();
                var choice = new Choice(web, to, platform)) {
            var before = new Ratios(web, metrics);
            drive(web, choice, mix, report);
            report.print(System.out);
            before.print(System.out, new Ratios(web, metrics));
        }
        report.close();
        return report.broken() > 0 ? 1 : 0;
    }

    private void drive(OperatorClient web, Choice choice, Mix mix, Report report) throws InterruptedException {
        var left = new AtomicInteger(streams);
        var all = new ArrayList<Thread>();
        for (var i = 0; i < atOnce; i++) {
            var r = new LoadClient(
                    web.httpClient(),
                    choice,
                    service,
                    mix,
                    new Random(seed * 1_000 + i),
                    "r" + seed + "-" + i,
                    this.options(),
                    report);
            var t = new Thread(
                    () -> {
                        while (left.getAndDecrement() > 0) r.one();
                    },
                    "requester-" + i);
            t.start();
            all.add(t);
        }
        for (var t : all) t.join();
    }

    private LoadClient.Options options() {
        return new LoadClient.Options(tenants, tokens, asks, deadline);
    }
}
