package craneway.pass;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An exception that is thrown once, from a hook in code that the class under test calls. It is thrown when the hook is
 * reached with the named class on the call stack, after a given number of earlier such passes.
 */
final class PlannedFault {
    private final String callerClassName;
    private final AtomicInteger remainingPasses;
    private final CountDownLatch thrown = new CountDownLatch(1);

    PlannedFault(String callerClassName, int earlierPasses) {
        this.callerClassName = callerClassName;
        remainingPasses = new AtomicInteger(earlierPasses);
    }

    /** Throws if this pass is the planned one. The hook calls this on every pass. */
    void throwIfDue() {
        var calledFromClass = StackWalker.getInstance()
                .walk(frames -> frames.anyMatch(f -> f.getClassName().equals(callerClassName)));
        if (!calledFromClass || remainingPasses.getAndDecrement() != 0) return;
        thrown.countDown();
        throw new IllegalStateException("exception planned by the test");
    }

    /** Waits until the exception has been thrown. */
    void awaitThrown() throws InterruptedException {
        thrown.await();
    }
}
