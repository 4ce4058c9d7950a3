package craneway.standin;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(name = "runner", description = "A streaming model server that makes up its tokens.")
public final class RunnerCommand implements Callable<Integer> {
    @Option(names = "--name", required = true)
    String name;

    @Option(names = "--listen", required = true)
    String listen;

    @Option(names = "--routers", required = true, split = ",")
    List<String> routers;

    @Option(names = "--service", required = true)
    String service;

    @Option(names = "--cell", required = true)
    String cell;

    @Option(names = "--slots", defaultValue = "8")
    int slots;

    @Option(names = "--token-ms", defaultValue = "5")
    int tokenMillis;

    @Option(names = "--prefill-ms", defaultValue = "40")
    int prefillMillis;

    @Option(names = "--prefixes", defaultValue = "4", description = "how many prefixes the cache keeps")
    int prefixes;

    @Option(names = "--warm-up-ms", defaultValue = "3000")
    int warmUpMillis;

    @Option(names = "--journal", required = true)
    Path journal;

    @Override
    public Integer call() throws Exception {
        var r = new StandinRunner(
                new StandinRunner.Settings(
                        name, listen, service, cell, slots, tokenMillis, prefillMillis, prefixes, warmUpMillis),
                routers,
                journal);
        r.start();
        var asked = new CountDownLatch(1);
        var done = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            asked.countDown();
            try {
                done.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }));
        asked.await();
        r.announceLeave();
        r.drainAndClose();
        done.countDown();
        return 0;
    }
}
