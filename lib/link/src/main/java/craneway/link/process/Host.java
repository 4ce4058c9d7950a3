package craneway.link.process;

import craneway.control.node.Port;
import craneway.link.http.Caller;
import craneway.link.partner.Post;
import craneway.model.event.Event;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

public final class Host implements Port {
    private static final int IO_THREADS = 4, TICKS = 5;
    private static final long TICK_MILLIS = 20;

    private final EventLog log;
    private final XnioWorker worker;
    private final Caller caller;
    private final Post post;
    private final List<Undertow> servers = new ArrayList<>();
    private volatile boolean closed;
    private final ScheduledExecutorService ticks;

    public Host(EventLog log, int threads, LongSupplier core) { this(log, IO_THREADS, threads, TICKS, core); }

    public Host(EventLog log, int io, int threads, int ticking, LongSupplier core) {
        ticks = Executors.newScheduledThreadPool(ticking, r -> new Thread(r, "tick"));
        this.log = log;
        try {
            worker = Xnio.getInstance().createWorker(OptionMap.builder().set(Options.WORKER_IO_THREADS, io)
                .set(Options.WORKER_TASK_CORE_THREADS, threads).set(Options.WORKER_TASK_MAX_THREADS, threads)
                .set(Options.TCP_NODELAY, true).getMap());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        caller = new Caller(worker);
        post = new Post(caller, core, this::now);
        tick(post::tick);
    }

    @Override
    public long now() { return System.nanoTime() / 1000; }

    @Override
    public void send(String address, Object message) { post.send(address, message); }

    @Override
    public void note(Event e, String detail) { log.note(e, detail); }

    /** Large batches to partners go packed from now on. */
    public void packing() { post.packing(); }

    public EventLog log() { return log; }

    public Caller caller() { return caller; }

    public XnioWorker worker() { return worker; }

    public void listen(String address, HttpHandler handler, long bodyLimit) {
        var at = address.lastIndexOf(':');
        var u = Undertow.builder().setWorker(worker)
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, bodyLimit)
            .setServerOption(UndertowOptions.MAX_HEADER_SIZE, 32 * 1024)
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, 60_000)
            .setServerOption(UndertowOptions.ENABLE_HTTP2, false)
            .addHttpListener(Integer.parseInt(address.substring(at + 1)), address.substring(0, at), handler).build();
        u.start();
        servers.add(u);
    }


    public void tick(Runnable each) {
        ticks.scheduleWithFixedDelay(() -> {
            try {
                each.run();
            } catch (RuntimeException e) {
                if (!closed) log.internal(e);
            }
        }, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    public void stopListening() { servers.forEach(Undertow::stop); }

    public void close() {
        closed = true;
        ticks.shutdownNow();
        stopListening();
        worker.shutdownNow();
    }
}
