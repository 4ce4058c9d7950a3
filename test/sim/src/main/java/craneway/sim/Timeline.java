package craneway.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

public final class Timeline {
    private record Line(long at, String node, String text) {}

    private final List<Line> lines = new ArrayList<>();

    public void add(long at, String node, String text) {
        lines.add(new Line(at, node, text));
    }

    public boolean contains(String node, String text) {
        return lines.stream().anyMatch(l -> l.node.equals(node) && l.text.contains(text));
    }

    public String render() {
        var nodes = new ArrayList<>(new TreeSet<>(lines.stream().map(Line::node).toList()));
        var b = new StringBuilder(String.format("%10s", "seconds"));
        for (var n : nodes) b.append(String.format(" | %-" + width(n) + "s", n));
        b.append('\n');
        for (var l : lines) row(b, l, nodes);
        return b.toString();
    }

    private static int width(String n) {
        return Math.max(10, n.length());
    }

    private static void row(StringBuilder b, Line l, List<String> nodes) {
        b.append(String.format("%10.3f", l.at / 1e6));
        for (var n : nodes) {
            if (n.equals(l.node)) {
                b.append(" | ").append(l.text);
                break;
            }
            b.append(String.format(" | %-" + width(n) + "s", "."));
        }
        b.append('\n');
    }
}
