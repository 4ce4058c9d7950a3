package craneway.state.disk;

import java.util.Arrays;
import java.util.List;

/** The files of one store. Every method may throw a {@link DiskException}. */
public interface Folder {
    /** Returns the names of all files, sorted. */
    List<String> fileNames();

    /** Returns the content of a file, or null if it does not exist. */
    byte[] read(String name);

    /** Returns the first bytes of a file, at most the given number, or null if it does not exist. */
    default byte[] readHead(String name, int maxBytes) {
        var bytes = read(name);
        return bytes == null ? null : Arrays.copyOf(bytes, Math.min(bytes.length, maxBytes));
    }

    /**
     * Appends bytes to a file, which is created if it does not exist. They are durable once {@link #sync} has returned.
     */
    void append(String name, byte[] bytes, int length);

    /** Makes everything appended to a file durable, and the name of the file if it is new. */
    void sync(String name);

    /** Overwrites the start of a file without making the change durable. */
    void overwrite(String name, byte[] bytes);

    /**
     * Replaces the content of a file atomically, even if power is lost. The content and the name are durable
     * afterwards.
     */
    void replace(String name, byte[] bytes);

    /** Renames a file, replacing any file of the new name. The new name is durable afterwards. */
    default void rename(String from, String to) {
        replace(to, read(from));
        delete(from);
    }

    /** Deletes a file if it exists. The deletion need not be durable. */
    void delete(String name);
}
