package craneway.process;

import craneway.control.node.Port;
import craneway.http.AsyncHttpClient;
import craneway.log.EventLog;
import craneway.model.event.Event;
import craneway.transport.HttpTransport;
import craneway.transport.Transport;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.LongSupplier;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * The runtime of one process: its clock, threads, periodic tasks, HTTP servers and client, and its transport to other
 * processes. Servers are started and stopped by one thread; all other methods are thread-safe.
 */
public final class NodeRuntime implements Port {
    private static final int IO_THREADS = 4;
    private static final int TICK_THREADS = 5;
    private static final long TICK_INTERVAL_MILLIS = 20;

    private final EventLog log;
    private final XnioWorker worker;
    private final AsyncHttpClient httpClient;
    private final Transport transport;
    private final List<Undertow> servers = new ArrayList<>();
    private final List<ExecutorService> executors = new CopyOnWriteArrayList<>();
    private volatile boolean closed;
    private final ScheduledExecutorService tickScheduler;

    /**
     * Creates a runtime whose messages to other processes go over HTTP.
     *
     * @param threads the number of worker threads
     * @param core the id of the core that this process belongs to, 0 while it belongs to none
     */
    public NodeRuntime(EventLog log, int threads, LongSupplier core) {
        this((client, clock) -> new HttpTransport(client, core, clock), log, IO_THREADS, threads, TICK_THREADS);
    }

    /**
     * Creates a runtime with the given transport, which {@link #close} closes, and the default number of I/O threads
     * and tick threads.
     *
     * @param threads the number of worker threads
     */
    public NodeRuntime(EventLog log, int threads, Transport transport) {
        this(log, IO_THREADS, threads, TICK_THREADS, transport);
    }

    /**
     * Creates a runtime with the given transport, which {@link #close} closes.
     *
     * @param io the number of I/O threads
     * @param threads the number of worker threads
     * @param ticking the number of threads that run periodic tasks
     */
    public NodeRuntime(EventLog log, int io, int threads, int ticking, Transport transport) {
        this((client, clock) -> transport, log, io, threads, ticking);
    }

    private NodeRuntime(
            BiFunction<AsyncHttpClient, LongSupplier, Transport> transportFactory,
            EventLog log,
            int ioThreads,
            int workerThreads,
            int tickThreads) {
        tickScheduler = Executors.newScheduledThreadPool(tickThreads, task -> new Thread(task, "tick"));
        this.log = log;
        try {
            worker = Xnio.getInstance()
                    .createWorker(OptionMap.builder()
                            .set(Options.WORKER_IO_THREADS, ioThreads)
                            .set(Options.WORKER_TASK_CORE_THREADS, workerThreads)
                            .set(Options.WORKER_TASK_MAX_THREADS, workerThreads)
                            .set(Options.TCP_NODELAY, true)
                            .getMap());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        httpClient = new AsyncHttpClient(worker);
        transport = transportFactory.apply(httpClient, this::now);
        if (transport.needsTicks()) schedulePeriodically(transport::tick);
    }

    /** Returns the time of the steady clock in microseconds. */
    @Override
    public long now() {
        return System.nanoTime() / 1000;
    }

    @Override
    public void send(String address, Object message) {
        transport.send(address, message);
    }

    @Override
    public void logEvent(Event event, String detail) {
        log.logEvent(event, detail);
    }

    /** Returns the log of this process. */
    public EventLog log() {
        return log;
    }

    /** Returns the HTTP client of this process. */
    public AsyncHttpClient httpClient() {
        return httpClient;
    }

    /** Returns the I/O and worker threads of this process. */
    public XnioWorker worker() {
        return worker;
    }

    /**
     * Starts an HTTP server on an address.
     *
     * @param address IP:PORT
     * @param bodyLimit the largest request body that is accepted, in bytes
     */
    public void listen(String address, HttpHandler handler, long bodyLimit) {
        var colon = address.lastIndexOf(':');
        var server = Undertow.builder()
                .setWorker(worker)
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, bodyLimit)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, 32 * 1024)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, 60_000)
                .setServerOption(UndertowOptions.ENABLE_HTTP2, false)
                .addHttpListener(Integer.parseInt(address.substring(colon + 1)), address.substring(0, colon), handler)
                .build();
        server.start();
        servers.add(server);
    }

    /** Runs a task at once and then 20 ms after the end of each run, until the runtime is closed. */
    public void schedulePeriodically(Runnable each) {
        schedulePeriodically(each, TICK_INTERVAL_MILLIS);
    }

    /**
     * Runs a task at once and then again a pause after the end of each run, until the runtime is closed. An exception
     * that the task throws is logged and does not stop later runs.
     */
    public void schedulePeriodically(Runnable each, long millis) {
        tickScheduler.scheduleWithFixedDelay(
                () -> {
                    runAndLogFailure(each);
                },
                0,
                millis,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Creates an executor that runs its tasks one at a time on a thread of its own, so that a task that waits for a
     * disk delays no other work. Tasks are dropped once the runtime is closed.
     */
    public Executor newSerialExecutor(String name) {
        var executor = Executors.newSingleThreadExecutor(r -> newDaemonThread(r, name));
        executors.add(executor);
        return task -> {
            if (!closed)
                executor.execute(() -> {
                    if (!closed) runAndLogFailure(task);
                });
        };
    }

    private static Thread newDaemonThread(Runnable task, String name) {
        var thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    private void runAndLogFailure(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            if (!closed) log.logInternalError(e);
        }
    }

    /** Stops all HTTP servers; the threads and the transport go on. */
    public void stopListening() {
        servers.forEach(Undertow::stop);
    }

    /** Stops the periodic tasks, the executors and the servers, and closes the transport and the worker threads. */
    public void close() {
        closed = true;
        tickScheduler.shutdownNow();
        executors.forEach(ExecutorService::shutdown);
        stopListening();
        transport.close();
        worker.shutdownNow();
    }
}
