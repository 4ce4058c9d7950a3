package craneway.command.load;

import craneway.command.CommandFailure;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

record WorkMix(List<WorkKind> workKinds, int totalShares) {
    record WorkKind(String name, int share, boolean runOnce) {}

    static WorkMix parse(List<String> text) {
        var all = new ArrayList<WorkKind>();
        for (var t : text) {
            if (!t.matches("[A-Za-z0-9._-]+:\\d{1,4}(:once)?"))
                throw new CommandFailure(2, "--work " + t + " is not NAME:SHARE[:once]");
            var p = t.split(":");
            all.add(new WorkKind(p[0], Integer.parseInt(p[1]), p.length == 3));
        }
        var sum = all.stream().mapToInt(WorkKind::share).sum();
        if (sum == 0) throw new CommandFailure(2, "--work: the shares add up to nothing");
        return new WorkMix(all, sum);
    }

    WorkKind selectKind(Random r) {
        var n = r.nextInt(totalShares);
        for (var k : workKinds) {
            n -= k.share;
            if (n < 0) return k;
        }
        return workKinds.get(0);
    }
}
