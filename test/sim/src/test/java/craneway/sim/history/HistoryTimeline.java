package craneway.sim.history;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;

/** Draws a history as text: a line for each call and each end, a column for each client. */
final class HistoryTimeline {
    private static final int CLIENT_COLUMN_WIDTH = 34;

    private record Line(long at, String client, String text) {}

    private HistoryTimeline() {}

    static String of(List<Operation> history) {
        var clients =
                history.stream().map(Operation::client).distinct().sorted().toList();
        var lines = new ArrayList<Line>();
        for (var operation : history) {
            lines.add(new Line(operation.calledAt(), operation.client(), "> " + operation));
            lines.add(new Line(operation.endedAt(), operation.client(), "< " + operation.describeResult()));
        }
        lines.sort(Comparator.comparingLong(Line::at));
        var text = new StringBuilder(pad("seconds", 12));
        clients.forEach(client -> text.append("| ").append(pad(client, CLIENT_COLUMN_WIDTH)));
        for (var line : lines) {
            text.append('\n').append(pad(String.format(Locale.ROOT, "%.6f", line.at / 1e6), 12));
            clients.forEach(client ->
                    text.append("| ").append(pad(client.equals(line.client) ? line.text : "", CLIENT_COLUMN_WIDTH)));
        }
        return text.append('\n').toString();
    }

    private static String pad(String text, int width) {
        return text.length() >= width ? text + " " : text + " ".repeat(width - text.length());
    }
}
