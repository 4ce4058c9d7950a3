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

/**
 * A disk whose writes hang blocks the thread of a part; the thread that receives messages must still answer hellos.
 */
class HungDiskTest {
    private final AtomicBoolean diskHangs = new AtomicBoolean();
    private final CountDownLatch writeBlocked = new CountDownLatch(1);
    private final CountDownLatch diskReleased = new CountDownLatch(1);
    private final AtomicLong now = new AtomicLong(1_000_000);
    private final LinkedBlockingQueue<Object> sentMessages = new LinkedBlockingQueue<>();

    private final Port port = new Port() {
        @Override
        public long now() {
            return now.get();
        }

        @Override
        public void send(String address, Object message) {
            sentMessages.add(message);
        }

        @Override
        public void logEvent(Event e, String detail) {}
    };

    private Folder hangingFolder() {
        var disk = new SimulatedDisk();
        return (Folder) Proxy.newProxyInstance(
                getClass().getClassLoader(), new Class<?>[] {Folder.class}, (proxy, method, arguments) -> {
                    if (diskHangs.get()
                            && (method.getName().equals("sync")
                                    || method.getName().equals("append")
                                    || method.getName().equals("replace"))) {
                        writeBlocked.countDown();
                        diskReleased.await();
                    }
                    synchronized (disk) {
                        return method.invoke(disk, arguments);
                    }
                });
    }

    @Test
    @Timeout(30)
    void messagesAreReceivedAndAnsweredWhileADiskHangs() throws Exception {
        var partExecutor = Executors.newSingleThreadExecutor();
        var self = new Node("s1", Node.STORE, "z1", "s1", 1);
        var store = new Store(
                port,
                hangingFolder(),
                self,
                List.of(),
                new StoreOptions(1, Quorum.THREE_VOTERS, TimingProfile.LOW_TRAFFIC, part -> partExecutor),
                new Random(1));
        for (var i = 0; i < 100 && store.replicas().length == 0; i++) advanceAndTick(store);
        diskHangs.set(true);
        while (!writeBlocked.await(1, TimeUnit.MILLISECONDS)) advanceAndTick(store);
        for (var i = 0; i < 50; i++) advanceAndTick(store);
        sentMessages.clear();
        var hello = new Hello();
        hello.from = new Node("s2", Node.STORE, "z2", "s2", 1);
        hello.wantsReply = true;
        store.receive(hello);
        assertTrue(sentMessages.stream().anyMatch(message -> message instanceof Hello));
        diskReleased.countDown();
        partExecutor.shutdown();
        assertTrue(partExecutor.awaitTermination(20, TimeUnit.SECONDS));
        assertFalse(store.replicas().length == 0);
    }

    private void advanceAndTick(Store store) {
        now.addAndGet(20_000);
        store.tick();
    }
}
