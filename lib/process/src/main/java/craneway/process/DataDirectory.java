package craneway.process;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * The primitive operations on a directory from which {@link DiskFolder} builds its guarantees. No change is durable
 * before the sync that covers it. Tests replace this with a directory in memory that simulates crashes.
 */
interface DataDirectory {
    /** A file that is open for writing. */
    interface OpenFile extends Closeable {
        /** Writes some or all of the remaining bytes at a position of the file. */
        void write(ByteBuffer bytes, long position) throws IOException;

        /** Returns the length of the file in bytes. */
        long length() throws IOException;

        /** Makes all bytes written to the file durable. */
        void sync() throws IOException;
    }

    /** Returns the names of all files, in no particular order. */
    List<String> fileNames() throws IOException;

    /** Returns at most the first {@code maxBytes} bytes of a file, or null if the file does not exist. */
    byte[] read(String name, int maxBytes) throws IOException;

    /** Opens a file for writing and creates it if it does not exist. */
    OpenFile open(String name) throws IOException;

    /** Renames a file atomically and replaces any file that has the new name. */
    void rename(String from, String to) throws IOException;

    /** Deletes a file if it exists. */
    void delete(String name) throws IOException;

    /** Makes all created, renamed and deleted names durable. */
    void sync() throws IOException;

    /** Returns the number of bytes that can still be written, or 0 if that is unknown. */
    long usableBytes();
}
