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

public final class NodeRuntime implements Port {
    private static final int IO_THREADS = 4, TICKS = 5;
    private static final long TICK_MILLIS = 20;

    private final EventLog log;
    private final XnioWorker worker;
    private final AsyncHttpClient httpClient;
    private final Transport transport;
    private final List<Undertow> servers = new ArrayList<>();
    private final List<ExecutorService> executors = new CopyOnWriteArrayList<>();
    private volatile boolean closed;
    private final ScheduledExecutorService ticks;

    public NodeRuntime(EventLog log, int threads, LongSupplier core) {
        this((c, now) -> new HttpTransport(c, core, now), log, IO_THREADS, threads, TICKS);
    }

    /** A host whose messages to other processes go over the given transport, which it closes. */
    public NodeRuntime(EventLog log, int threads, Transport transport) {
        this(log, IO_THREADS, threads, TICKS, transport);
    }

    public NodeRuntime(EventLog log, int io, int threads, int ticking, Transport transport) {
        this((c, now) -> transport, log, io, threads, ticking);
    }

    private NodeRuntime(
            BiFunction<AsyncHttpClient, LongSupplier, Transport> transports,
            EventLog log,
            int io,
            int threads,
            int ticking) {
        ticks = Executors.newScheduledThreadPool(ticking, r -> new Thread(r, "tick"));
        this.log = log;
        try {
            worker = Xnio.getInstance()
                    .createWorker(OptionMap.builder()
                            .set(Options.WORKER_IO_THREADS, io)
                            .set(Options.WORKER_TASK_CORE_THREADS, threads)
                            .set(Options.WORKER_TASK_MAX_THREADS, threads)
                            .set(Options.TCP_NODELAY, true)
                            .getMap());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        httpClient = new AsyncHttpClient(worker);
        transport = transports.apply(httpClient, this::now);
        if (transport.needsTicks()) schedulePeriodically(transport::tick);
    }

    @Override
    public long now() {
        return System.nanoTime() / 1000;
    }

    @Override
    public void send(String address, Object message) {
        transport.send(address, message);
    }

    @Override
    public void logEvent(Event e, String detail) {
        log.logEvent(e, detail);
    }

    public EventLog log() {
        return log;
    }

    public AsyncHttpClient httpClient() {
        return httpClient;
    }

    public XnioWorker worker() {
        return worker;
    }

    public void listen(String address, HttpHandler handler, long bodyLimit) {
        var at = address.lastIndexOf(':');
        var u = Undertow.builder()
                .setWorker(worker)
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, bodyLimit)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, 32 * 1024)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, 60_000)
                .setServerOption(UndertowOptions.ENABLE_HTTP2, false)
                .addHttpListener(Integer.parseInt(address.substring(at + 1)), address.substring(0, at), handler)
                .build();
        u.start();
        servers.add(u);
    }

    public void schedulePeriodically(Runnable each) {
        schedulePeriodically(each, TICK_MILLIS);
    }

    public void schedulePeriodically(Runnable each, long millis) {
        ticks.scheduleWithFixedDelay(
                () -> {
                    guarded(each);
                },
                0,
                millis,
                TimeUnit.MILLISECONDS);
    }

    /** A thread of its own for work that may wait for a disk. */
    public Executor newSerialExecutor(String name) {
        var d = Executors.newSingleThreadExecutor(r -> daemon(r, name));
        executors.add(d);
        return r -> {
            if (!closed)
                d.execute(() -> {
                    if (!closed) guarded(r);
                });
        };
    }

    private static Thread daemon(Runnable r, String name) {
        var t = new Thread(r, name);
        t.setDaemon(true);
        return t;
    }

    private void guarded(Runnable r) {
        try {
            r.run();
        } catch (RuntimeException e) {
            if (!closed) log.logInternalError(e);
        }
    }

    public void stopListening() {
        servers.forEach(Undertow::stop);
    }

    public void close() {
        closed = true;
        ticks.shutdownNow();
        executors.forEach(ExecutorService::shutdown);
        stopListening();
        transport.close();
        worker.shutdownNow();
    }
}
