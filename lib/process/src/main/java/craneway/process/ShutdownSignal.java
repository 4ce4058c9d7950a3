package craneway.process;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

public final class ShutdownSignal {
    private static final int SUPERSEDED = 3;

    private ShutdownSignal() {}

    public interface ShutdownAction {
        void run() throws InterruptedException;
    }

    /** As {@link #awaitAndShutDown}, but the process ends with what is returned here also when a signal stops it. */
    public static int awaitShutDownAndHalt(ShutdownAction stop, BooleanSupplier superseded) throws InterruptedException {
        var r = awaitAndShutDown(stop, superseded);
        Runtime.getRuntime().halt(r);
        return r;
    }

    public static int awaitAndShutDown(ShutdownAction stop, BooleanSupplier superseded) throws InterruptedException {
        var asked = new CountDownLatch(1);
        var done = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            asked.countDown();
                            try {
                                done.await(70, TimeUnit.SECONDS);
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        },
                        "stop"));
        while (!asked.await(500, TimeUnit.MILLISECONDS))
            if (superseded.getAsBoolean()) {
                System.err.println("another process with this name and a newer incarnation has taken this one's place");
                done.countDown();
                return SUPERSEDED;
            }
        stop.run();
        done.countDown();
        return 0;
    }
}
