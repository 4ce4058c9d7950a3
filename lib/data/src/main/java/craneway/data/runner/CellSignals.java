package craneway.data.runner;

import craneway.model.unit.Parts;
import craneway.state.message.Messages.CellSignal;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

public final class CellSignals {
    private final Map<String, CellSignal> cells = new HashMap<>();

    private CellSignal of(String service, String cell) {
        return cells.computeIfAbsent(service + "/" + cell, k -> {
            var s = new CellSignal();
            s.service = service;
            s.cell = cell;
            return s;
        });
    }

    public synchronized void recordFirstData(String service, String cell, long micros) {
        var s = of(service, cell);
        s.startedAnswers++;
        s.firstTokenMicros += micros;
    }

    public synchronized void recordProblem(String service, String cell) {
        of(service, cell).failures++;
    }

    public synchronized List<CellSignal> drain(int part) {
        var all = new ArrayList<CellSignal>();
        cells.values().removeIf(s -> Parts.partOf(s.service) == part && all.add(s));
        return all;
    }
}
