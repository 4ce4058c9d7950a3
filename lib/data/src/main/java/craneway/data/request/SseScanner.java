package craneway.data.request;

public final class SseScanner {
    private static final byte[] DONE = "data: [DONE]".getBytes();
    private static final int PREFIX = 5;

    private int at;
    private boolean matching = true;
    private boolean isDone;
    private boolean isComplete;
    private boolean data = true;
    private int eventCount;

    public void scan(byte[] b, int len) {
        for (var i = 0; i < len; i++) scan(b[i]);
    }

    private void scan(byte x) {
        if (x == '\r') return;
        if (x != '\n') {
            matching &= at < DONE.length && DONE[at] == x;
            data &= at >= PREFIX || DONE[at] == x;
            at++;
            return;
        }
        isComplete = isDone && at == 0;
        var end = matching && at == DONE.length;
        if (data && at >= PREFIX && !end) eventCount++;
        isDone = isComplete || end;
        at = 0;
        matching = data = true;
    }

    public int eventCount() {
        return eventCount;
    }

    public boolean isDone() {
        return isDone && at == 0;
    }

    public boolean isComplete() {
        return isComplete && at == 0;
    }
}
