package craneway.state.disk;

import static craneway.state.disk.LogHistory.entry;
import static craneway.state.disk.LogHistory.installSnapshot;
import static craneway.state.disk.LogHistory.sync;
import static craneway.state.disk.LogHistory.truncate;
import static craneway.state.disk.LogHistory.vote;

import craneway.state.disk.LogHistory.Call;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Short histories of a log. Every crash point leaves at most eight unsynced writes and name changes, so that all
 * outcomes of a loss of power can be tried.
 */
final class HistoryCases {
    static final Map<String, List<Call>> ALL = new TreeMap<>(Map.of(
            "a first start", List.of(),
            "votes", List.of(vote(1, 1), sync(), vote(2, 0), vote(2, 3), sync(), vote(3, 1), vote(4, 0), vote(4, 2)),
            "entries",
                    List.of(
                            vote(1, 1),
                            entry(1, 3),
                            sync(),
                            entry(1, 9),
                            entry(1, 40),
                            sync(),
                            entry(1, 5),
                            entry(1, 70),
                            entry(1, 0),
                            entry(1, 20)),
            "cuts",
                    List.of(
                            vote(1, 0),
                            entry(1, 3),
                            entry(1, 4),
                            entry(1, 5),
                            sync(),
                            vote(2, 0),
                            truncate(2),
                            entry(2, 6),
                            truncate(2),
                            entry(2, 7),
                            sync(),
                            truncate(1),
                            entry(2, 8)),
            "a snapshot taken",
                    List.of(
                            vote(1, 1),
                            entry(1, 3),
                            entry(1, 4),
                            sync(),
                            entry(1, 5),
                            installSnapshot(2, 1),
                            entry(1, 6),
                            sync(),
                            vote(2, 1),
                            entry(2, 9),
                            installSnapshot(4, 1),
                            entry(2, 2)),
            "a snapshot from the leader",
                    List.of(
                            vote(1, 2),
                            entry(1, 3),
                            sync(),
                            entry(1, 4),
                            installSnapshot(9, 3),
                            vote(4, 0),
                            entry(4, 1),
                            sync(),
                            entry(4, 2))));

    private HistoryCases() {}
}
