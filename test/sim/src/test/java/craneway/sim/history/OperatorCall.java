package craneway.sim.history;

import craneway.sim.Simulation;
import craneway.sim.history.Office.Answer;
import craneway.sim.history.Office.Request;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

/**
 * One call of an operator as the platform's page has it: to a node of its list; after a failure, a 5xx, a 408 or 429, or a second of
 * silence, the same again to another node, after a pause that grows; over at a 2xx, at 400, 409, 412, 413 or 422, at the third of
 * any other 4xx, and when its time is over. No store answers 307, so none is followed.
 */
final class OperatorCall {
    static final long SILENCE = 1_000_000;
    private static final long FIRST_PAUSE = 50_000;
    private static final long LONGEST_PAUSE = 1_600_000;
    private static final Set<Integer> FINAL = Set.of(400, 409, 412, 413, 422);
    private static final Set<Integer> ELSEWHERE = Set.of(408, 429);
    private static final int MOST_OTHERS = 3;

    /** Hears how each try and the whole call went; no answer is a null. */
    interface Listener {
        /** One try, which ended now. */
        void tried(long from, Answer answer);

        /** The whole call; a null if no clear answer came in its time. */
        void over(long from, Answer answer);
    }

    private final Simulation sim;
    private final OperatorNet net;
    private final Supplier<List<String>> list;
    private final Request request;
    private final Listener listener;
    private final long from;
    private final long until;
    private long pause = FIRST_PAUSE;
    private int others;
    private int tries;
    private String last = "";

    OperatorCall(
            Simulation sim, OperatorNet net, Supplier<List<String>> list, Request request, long patience, Listener listener) {
        this.sim = sim;
        this.net = net;
        this.list = list;
        this.request = request;
        this.listener = listener;
        from = sim.now();
        until = from + patience;
    }

    void begin() {
        var number = ++tries;
        var sent = sim.now();
        last = choose();
        net.call(net.node(last), request, a -> {
            if (number == tries) ended(sent, a);
        });
        sim.scheduleAfter(SILENCE, () -> {
            if (number == tries) ended(sent, null);
        });
    }

    private String choose() {
        var all = list.get();
        var others = all.stream().filter(n -> !n.equals(last)).toList();
        var from = others.isEmpty() ? all : others;
        return from.get(sim.random.nextInt(from.size()));
    }

    private void ended(long sent, Answer a) {
        tries++;
        listener.tried(sent, a);
        if (a != null && (a.ok() || refused(a))) {
            listener.over(from, a);
            return;
        }
        var next = sim.now() + pause;
        pause = Math.min(LONGEST_PAUSE, pause * 2);
        if (next > until) listener.over(from, null);
        else sim.scheduleAt(next, this::begin);
    }

    private boolean refused(Answer a) {
        if (FINAL.contains(a.status())) return true;
        if (a.status() < 400 || a.status() >= 500 || ELSEWHERE.contains(a.status())) return false;
        return ++others >= MOST_OTHERS;
    }
}
