package craneway.state.disk;

import java.util.Arrays;
import java.util.List;

/** The files of one store. Every method may throw a {@link DiskException}. */
public interface Folder {
    /** The names of all files, sorted. */
    List<String> fileNames();

    /** The bytes of a file, or null if there is none. */
    byte[] read(String name);

    /** The first bytes of a file, at most so many, or null if there is none. */
    default byte[] readHead(String name, int most) {
        var all = read(name);
        return all == null ? null : Arrays.copyOf(all, Math.min(all.length, most));
    }

    /** Adds bytes at the end of a file, which is made if there is none. They last once {@link #sync} returned. */
    void append(String name, byte[] b, int len);

    /** Makes all that was appended to a file last, and the file's name if it is new. */
    void sync(String name);

    /** Writes over the start of a file without making it last. */
    void overwrite(String name, byte[] b);

    /** Gives a file new bytes, all or none of them even if power is lost. The bytes and the name last afterwards. */
    void replace(String name, byte[] b);

    /** Gives a file another name, which lasts afterwards; a file of that name goes. */
    default void rename(String from, String to) {
        replace(to, read(from));
        delete(from);
    }

    /** Removes a file, if it is there. The removal need not last. */
    void delete(String name);
}
