package craneway.command.load;

import craneway.command.CommandException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

record Mix(List<Kind> kinds, int total) {
    record Kind(String name, int share, boolean once) {}

    static Mix of(List<String> text) {
        var all = new ArrayList<Kind>();
        for (var t : text) {
            if (!t.matches("[A-Za-z0-9._-]+:\\d{1,4}(:once)?"))
                throw new CommandException(2, "--work " + t + " is not NAME:SHARE[:once]");
            var p = t.split(":");
            all.add(new Kind(p[0], Integer.parseInt(p[1]), p.length == 3));
        }
        var sum = all.stream().mapToInt(Kind::share).sum();
        if (sum == 0) throw new CommandException(2, "--work: the shares add up to nothing");
        return new Mix(all, sum);
    }

    Kind pick(Random r) {
        var n = r.nextInt(total);
        for (var k : kinds) {
            n -= k.share;
            if (n < 0) return k;
        }
        return kinds.get(0);
    }
}
