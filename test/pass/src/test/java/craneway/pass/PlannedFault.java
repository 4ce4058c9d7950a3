package craneway.pass;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** An exception that is thrown once, at the given pass of a thread through a place beneath the class of this name. */
final class PlannedFault {
    private final String className;
    private final AtomicInteger passes;
    private final CountDownLatch thrown = new CountDownLatch(1);

    PlannedFault(String className, int passesBefore) {
        this.className = className;
        passes = new AtomicInteger(passesBefore);
    }

    /** Called from the place at which it may happen. */
    void reached() {
        var beneath = StackWalker.getInstance()
                .walk(frames -> frames.anyMatch(f -> f.getClassName().equals(className)));
        if (!beneath || passes.getAndDecrement() != 0) return;
        thrown.countDown();
        throw new IllegalStateException("a fault planted by the test");
    }

    void awaitThrown() throws InterruptedException {
        thrown.await();
    }
}
