package craneway.sim.model;

import craneway.sim.SimulatedDisk;
import craneway.state.disk.Folder;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/** A simulated disk that knows what of each file was synced, and how often it was written. */
final class ProbedDisk {
    private final SimulatedDisk disk;
    private final Folder folder;
    private final Map<String, Integer> length = new HashMap<>();
    private final Map<String, Integer> synced = new HashMap<>();
    private boolean lies;
    private int writes;

    ProbedDisk(SimulatedDisk disk) {
        this.disk = disk;
        for (var n : disk.fileNames()) whole(n, disk.read(n).length);
        folder = (Folder)
                Proxy.newProxyInstance(Folder.class.getClassLoader(), new Class<?>[] {Folder.class}, this::invoke);
    }

    Folder folder() {
        return folder;
    }

    int writes() {
        return writes;
    }

    void full(boolean is) {
        disk.setFull(is);
    }

    /** From now on a sync says that it was done and does nothing. */
    void lieAboutSync() {
        lies = true;
    }

    /** What the files hold now, also where it was not synced. */
    SimulatedDisk copy() {
        var copy = new SimulatedDisk();
        for (var n : disk.fileNames()) copy.replace(n, disk.read(n));
        return copy;
    }

    /** Only what was synced. */
    SimulatedDisk syncedCopy() {
        var copy = new SimulatedDisk();
        for (var n : disk.fileNames())
            if (synced.containsKey(n)) copy.replace(n, Arrays.copyOf(disk.read(n), synced.get(n)));
        return copy;
    }

    private void whole(String name, int bytes) {
        length.put(name, bytes);
        synced.put(name, bytes);
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
            case "append" -> length.merge((String) args[0], (Integer) args[2], Integer::sum);
            case "overwrite" -> {
                whole((String) args[0], ((byte[]) args[1]).length);
                if (lies) synced.remove((String) args[0]);
            }
            case "replace" -> whole((String) args[0], ((byte[]) args[1]).length);
            case "delete" -> {
                length.remove((String) args[0]);
                synced.remove((String) args[0]);
            }
            case "sync" -> {
                if (!lies && length.containsKey((String) args[0]))
                    synced.put((String) args[0], length.get((String) args[0]));
            }
            default -> {
                return;
            }
        }
        writes++;
    }
}
