package craneway.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/** The events of a simulated run, drawn as a table with a column for each node. */
public final class Timeline {
    private record Entry(long at, String node, String text) {}

    private final List<Entry> entries = new ArrayList<>();

    /** Adds an entry. */
    public void add(long at, String node, String text) {
        entries.add(new Entry(at, node, text));
    }

    /** Whether some entry of the node contains the text. */
    public boolean contains(String node, String text) {
        return entries.stream().anyMatch(entry -> entry.node.equals(node) && entry.text.contains(text));
    }

    /** The table as text, one line for each entry. */
    public String render() {
        var nodes =
                new ArrayList<>(new TreeSet<>(entries.stream().map(Entry::node).toList()));
        var text = new StringBuilder(String.format("%10s", "seconds"));
        for (var node : nodes) text.append(String.format(" | %-" + columnWidth(node) + "s", node));
        text.append('\n');
        for (var entry : entries) appendRow(text, entry, nodes);
        return text.toString();
    }

    private static int columnWidth(String node) {
        return Math.max(10, node.length());
    }

    private static void appendRow(StringBuilder table, Entry entry, List<String> nodes) {
        table.append(String.format("%10.3f", entry.at / 1e6));
        for (var node : nodes) {
            if (node.equals(entry.node)) {
                table.append(" | ").append(entry.text);
                break;
            }
            table.append(String.format(" | %-" + columnWidth(node) + "s", "."));
        }
        table.append('\n');
    }
}
