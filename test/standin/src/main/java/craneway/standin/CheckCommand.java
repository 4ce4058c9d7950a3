package craneway.standin;

import craneway.drill.JournalChecker;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code standin check}: checks the promises by the journals of a run. */
@Command(
        name = "check",
        description = "Compares the journals of requesters and runners. Exit code 1 if a promise was broken.")
public final class CheckCommand implements Callable<Integer> {
    @Option(names = "--requesters", required = true, split = ",")
    List<Path> requesters;

    @Option(names = "--planned", description = "nothing was killed, so a lost connection breaks a promise")
    boolean planned;

    @Option(names = "--runners", required = true, description = "folder with the journals of the runners")
    Path runners;

    @Override
    public Integer call() throws Exception {
        var checker = new JournalChecker();
        try (var files = Files.list(runners)) {
            for (var journal : files.filter(
                            file -> file.getFileName().toString().startsWith("runner-"))
                    .sorted()
                    .toList()) checker.addRunnerJournal(journal);
        }
        for (var journal : requesters) checker.addRequesterJournal(journal);
        var violations = checker.findViolations(planned);
        System.out.println(checker.summary());
        violations.forEach(System.out::println);
        System.out.println(
                violations.isEmpty() ? "every promise checked here was kept" : violations.size() + " promises broken");
        return violations.isEmpty() ? 0 : 1;
    }
}
