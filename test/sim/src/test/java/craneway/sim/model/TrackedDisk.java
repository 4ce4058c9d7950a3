package craneway.sim.model;

import craneway.sim.SimulatedDisk;
import craneway.state.disk.Folder;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * A simulated disk that tracks how much of each file was synced and how often it was written. It intercepts the calls
 * of {@link Folder} by method name.
 */
final class TrackedDisk {
    private final SimulatedDisk disk;
    private final Folder folder;
    private final Map<String, Integer> writtenLengths = new HashMap<>();
    private final Map<String, Integer> syncedLengths = new HashMap<>();
    private boolean ignoresSync;
    private int writeCount;

    TrackedDisk(SimulatedDisk disk) {
        this.disk = disk;
        for (var name : disk.fileNames()) setSynced(name, disk.read(name).length);
        folder = (Folder)
                Proxy.newProxyInstance(Folder.class.getClassLoader(), new Class<?>[] {Folder.class}, this::invoke);
    }

    Folder folder() {
        return folder;
    }

    /** The number of calls that changed or synced a file. */
    int writeCount() {
        return writeCount;
    }

    /** Sets whether the disk rejects every write. */
    void setFull(boolean value) {
        disk.setFull(value);
    }

    /** Makes syncs from now on report success without doing anything. */
    void ignoreSyncs() {
        ignoresSync = true;
    }

    /** A disk with everything that was written. */
    SimulatedDisk copy() {
        var copy = new SimulatedDisk();
        for (var name : disk.fileNames()) copy.replace(name, disk.read(name));
        return copy;
    }

    /** A disk with only what was synced. */
    SimulatedDisk syncedCopy() {
        var copy = new SimulatedDisk();
        for (var name : disk.fileNames())
            if (syncedLengths.containsKey(name))
                copy.replace(name, Arrays.copyOf(disk.read(name), syncedLengths.get(name)));
        return copy;
    }

    /** Records a file whose whole content is synced. */
    private void setSynced(String name, int bytes) {
        writtenLengths.put(name, bytes);
        syncedLengths.put(name, bytes);
    }

    private Object invoke(Object proxy, Method method, Object[] args) throws Throwable {
        try {
            var result = method.invoke(disk, args);
            observe(method.getName(), args);
            return result;
        } catch (InvocationTargetException e) {
            throw e.getCause();
        }
    }

    private void observe(String method, Object[] args) {
        switch (method) {
            case "append" -> writtenLengths.merge((String) args[0], (Integer) args[2], Integer::sum);
            case "overwrite" -> {
                setSynced((String) args[0], ((byte[]) args[1]).length);
                if (ignoresSync) syncedLengths.remove((String) args[0]);
            }
            case "replace" -> setSynced((String) args[0], ((byte[]) args[1]).length);
            case "delete" -> {
                writtenLengths.remove((String) args[0]);
                syncedLengths.remove((String) args[0]);
            }
            case "sync" -> {
                if (!ignoresSync && writtenLengths.containsKey((String) args[0]))
                    syncedLengths.put((String) args[0], writtenLengths.get((String) args[0]));
            }
            default -> {
                return;
            }
        }
        writeCount++;
    }
}
