package craneway.process;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Blocks the main thread until the process is to stop: because a signal (SIGTERM, SIGINT) arrived, or because a newer
 * process with the same name replaced this one.
 */
public final class ShutdownSignal {
    /** The exit code of a process that a newer incarnation replaced. */
    private static final int SUPERSEDED_EXIT_CODE = 3;

    private ShutdownSignal() {}

    /** The graceful shutdown of a process. */
    public interface ShutdownAction {
        /** Shuts the process down and returns once that is complete. */
        void run() throws InterruptedException;
    }

    /**
     * Does the same as {@link #awaitAndShutDown}, then ends the process with the returned code. Without this, a process
     * that a signal stopped would end with the JVM's exit code for that signal.
     */
    public static int awaitShutDownAndHalt(ShutdownAction shutdownAction, BooleanSupplier superseded)
            throws InterruptedException {
        var exitCode = awaitAndShutDown(shutdownAction, superseded);
        Runtime.getRuntime().halt(exitCode);
        return exitCode;
    }

    /**
     * Waits until a signal arrives or the process is superseded. After a signal it runs the graceful shutdown, during
     * which a shutdown hook keeps the JVM alive for at most 70 s. The longest graceful shutdown, that of
     * {@link RouterProcess}, takes about 63 s. A superseded process skips the graceful shutdown.
     *
     * @param shutdownAction the graceful shutdown
     * @param superseded whether a newer process with the same name has replaced this one; polled every 500 ms
     * @return the exit code of the process: 0 after a graceful shutdown, 3 if superseded
     */
    public static int awaitAndShutDown(ShutdownAction shutdownAction, BooleanSupplier superseded)
            throws InterruptedException {
        var stopRequested = new CountDownLatch(1);
        var stopCompleted = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            stopRequested.countDown();
                            try {
                                stopCompleted.await(70, TimeUnit.SECONDS);
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        },
                        "stop"));
        while (!stopRequested.await(500, TimeUnit.MILLISECONDS))
            if (superseded.getAsBoolean()) {
                System.err.println("another process with this name and a newer incarnation has replaced this process");
                stopCompleted.countDown();
                return SUPERSEDED_EXIT_CODE;
            }
        shutdownAction.run();
        stopCompleted.countDown();
        return 0;
    }
}
