package craneway.data.runner;

import craneway.model.unit.Parts;
import craneway.state.message.Messages.CellSignal;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts, for each service and cell, the streams that started, the time until they did, and the failures, until the
 * router reports them to the core. Thread-safe.
 */
public final class CellSignals {
    private final Map<String, CellSignal> signalsByServiceAndCell = new HashMap<>();

    private CellSignal signalOf(String service, String cell) {
        return signalsByServiceAndCell.computeIfAbsent(service + "/" + cell, k -> {
            var signal = new CellSignal();
            signal.service = service;
            signal.cell = cell;
            return signal;
        });
    }

    /** Records that a runner of the cell sent its first data this many microseconds after the request was sent. */
    public synchronized void recordFirstData(String service, String cell, long delayMicros) {
        var signal = signalOf(service, cell);
        signal.startedAnswers++;
        signal.firstTokenMicros += delayMicros;
    }

    /** Records that a runner of the cell could not be reached or broke off a request. */
    public synchronized void recordProblem(String service, String cell) {
        signalOf(service, cell).failures++;
    }

    /** Returns and removes the signals of the services in this part. */
    public synchronized List<CellSignal> drain(int part) {
        var drained = new ArrayList<CellSignal>();
        signalsByServiceAndCell
                .values()
                .removeIf(signal -> Parts.partOf(signal.service) == part && drained.add(signal));
        return drained;
    }
}
