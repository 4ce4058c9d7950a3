package craneway.features;

import craneway.data.request.SseScanner;
import io.cucumber.java.en.Then;

/** Steps that feed pieces of an event stream to the scanner that detects its end. */
public final class StreamScanSteps {
    @Then("the stream pieces {string} are finished: {word}, complete: {word}")
    public void checkPieces(String pieces, String finished, String complete) {
        var scanner = new SseScanner();
        for (var piece : pieces.replace("<n>", "\n").replace("<r>", "\r").split(" \\+ "))
            scanner.scan(piece.getBytes(), piece.getBytes().length);
        if (scanner.isDone() != finished.equals("yes") || scanner.isComplete() != complete.equals("yes"))
            throw new AssertionError("finished " + scanner.isDone() + " complete " + scanner.isComplete());
    }
}
