package craneway.data.requester;

public final class StreamScan {
    private static final byte[] DONE = "data: [DONE]".getBytes();

    private int at;
    private boolean matching = true;
    private boolean done;
    private boolean whole;

    public void accept(byte[] b, int len) {
        for (var i = 0; i < len; i++) accept(b[i]);
    }

    private void accept(byte x) {
        if (x == '\r') return;
        if (x != '\n') {
            matching &= at < DONE.length && DONE[at] == x;
            at++;
            return;
        }
        whole = done && at == 0;
        done = whole || matching && at == DONE.length;
        at = 0;
        matching = true;
    }

    public boolean done() { return done && at == 0; }

    public boolean whole() { return whole && at == 0; }
}
