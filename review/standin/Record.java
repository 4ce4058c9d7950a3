import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** What was sent, answered and run, a line each, with milliseconds since the start. */
final class Record implements AutoCloseable {
    private final long start = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    /** Milliseconds since the start, by the steady clock. */
    double now() {
        return (System.nanoTime() - start) / 1e6;
    }

    synchronized void say(String text) {
        out.println(String.format(Locale.ROOT, "%10.1f  %s", now(), text));
        out.flush();
    }

    @Override
    public void close() {
        out.close();
    }
}
