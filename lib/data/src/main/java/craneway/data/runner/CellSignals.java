package craneway.data.runner;

import craneway.model.unit.Parts;
import craneway.state.message.Messages.Signal;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

public final class CellSignals {
    private final Map<String, Signal> cells = new HashMap<>();

    private Signal of(String service, String cell) {
        return cells.computeIfAbsent(service + "/" + cell, k -> {
            var s = new Signal();
            s.service = service;
            s.cell = cell;
            return s;
        });
    }

    public synchronized void recordFirstData(String service, String cell, long micros) {
        var s = of(service, cell);
        s.runs++;
        s.firstMicros += micros;
    }

    public synchronized void recordProblem(String service, String cell) {
        of(service, cell).problems++;
    }

    public synchronized List<Signal> drain(int part) {
        var all = new ArrayList<Signal>();
        cells.values().removeIf(s -> Parts.partOf(s.service) == part && all.add(s));
        return all;
    }
}
