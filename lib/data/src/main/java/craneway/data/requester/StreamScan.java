package craneway.data.requester;

public final class StreamScan {
    private static final byte[] DONE = "data: [DONE]".getBytes();

    private int at;
    private boolean matching = true;
    private boolean done;

    public void accept(byte[] b, int len) {
        for (var i = 0; i < len; i++) accept(b[i]);
    }

    private void accept(byte x) {
        if (x == '\n' || x == '\r') {
            if (at > 0) done = matching && at == DONE.length;
            at = 0;
            matching = true;
            return;
        }
        matching &= at < DONE.length && DONE[at] == x;
        at++;
    }

    public boolean whole() { return done && at == 0; }
}
