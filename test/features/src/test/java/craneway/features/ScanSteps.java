package craneway.features;

import craneway.data.request.SseScanner;
import io.cucumber.java.en.Then;

public final class ScanSteps {
    @Then("the pieces {string} are done {word} and whole {word}")
    public void pieces(String text, String done, String whole) {
        var scan = new SseScanner();
        for (var p : text.replace("<n>", "\n").replace("<r>", "\r").split(" \\+ "))
            scan.scan(p.getBytes(), p.getBytes().length);
        if (scan.isDone() != done.equals("yes") || scan.isComplete() != whole.equals("yes"))
            throw new AssertionError("done " + scan.isDone() + " whole " + scan.isComplete());
    }
}
