package craneway.standin;

import craneway.drill.JournalChecker;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
        name = "check",
        description = "Compares the requesters' and the runners' journals. Exit code 1 when a promise broke.")
public final class CheckCommand implements Callable<Integer> {
    @Option(names = "--requesters", required = true, split = ",")
    List<Path> requesters;

    @Option(names = "--planned", description = "nothing was killed: a lost connection counts as broken")
    boolean planned;

    @Option(names = "--runners", required = true, description = "folder of the runners' journals")
    Path runners;

    @Override
    public Integer call() throws Exception {
        var c = new JournalChecker();
        try (var all = Files.list(runners)) {
            for (var p : all.filter(f -> f.getFileName().toString().startsWith("runner-"))
                    .sorted()
                    .toList()) c.addRunnerJournal(p);
        }
        for (var p : requesters) c.addRequesterJournal(p);
        var wrong = c.findViolations(planned);
        System.out.println(c.summary());
        wrong.forEach(System.out::println);
        System.out.println(wrong.isEmpty() ? "every promise checked here was kept" : wrong.size() + " promises broken");
        return wrong.isEmpty() ? 0 : 1;
    }
}
