package craneway.sim;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import craneway.control.node.Port;
import craneway.control.store.Quorum;
import craneway.control.store.Store;
import craneway.control.store.StoreOptions;
import craneway.model.event.Event;
import craneway.model.unit.TimingProfile;
import craneway.state.disk.Folder;
import craneway.state.message.Messages.Hello;
import craneway.state.message.Node;
import java.lang.reflect.Proxy;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class HungDiskTest {
    private final AtomicBoolean hangs = new AtomicBoolean();
    private final CountDownLatch hung = new CountDownLatch(1);
    private final CountDownLatch freed = new CountDownLatch(1);
    private final AtomicLong now = new AtomicLong(1_000_000);
    private final LinkedBlockingQueue<Object> sent = new LinkedBlockingQueue<>();

    private final Port port = new Port() {
        @Override
        public long now() {
            return now.get();
        }

        @Override
        public void send(String address, Object message) {
            sent.add(message);
        }

        @Override
        public void logEvent(Event e, String detail) {}
    };

    private Folder folder() {
        var disk = new SimulatedDisk();
        return (Folder)
                Proxy.newProxyInstance(getClass().getClassLoader(), new Class<?>[] {Folder.class}, (p, m, a) -> {
                    if (hangs.get()
                            && (m.getName().equals("sync")
                                    || m.getName().equals("append")
                                    || m.getName().equals("replace"))) {
                        hung.countDown();
                        freed.await();
                    }
                    synchronized (disk) {
                        return m.invoke(disk, a);
                    }
                });
    }

    @Test
    @Timeout(30)
    void theThreadThatReceivesGoesOnWhileADiskHangs() throws Exception {
        var part = Executors.newSingleThreadExecutor();
        var self = new Node("s1", Node.STORE, "z1", "s1", 1);
        var store = new Store(
                port,
                folder(),
                self,
                List.of(),
                new StoreOptions(1, Quorum.THREE_VOTERS, TimingProfile.LOW_TRAFFIC, p -> part),
                new Random(1));
        for (var i = 0; i < 100 && store.replicas().length == 0; i++) tick(store);
        hangs.set(true);
        while (!hung.await(1, TimeUnit.MILLISECONDS)) tick(store);
        for (var i = 0; i < 50; i++) tick(store);
        sent.clear();
        var h = new Hello();
        h.from = new Node("s2", Node.STORE, "z2", "s2", 1);
        h.wantsReply = true;
        store.receive(h);
        assertTrue(sent.stream().anyMatch(m -> m instanceof Hello));
        freed.countDown();
        part.shutdown();
        assertTrue(part.awaitTermination(20, TimeUnit.SECONDS));
        assertFalse(store.replicas().length == 0);
    }

    private void tick(Store store) {
        now.addAndGet(20_000);
        store.tick();
    }
}
