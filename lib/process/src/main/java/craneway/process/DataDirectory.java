package craneway.process;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/** The operations on a directory that {@link DiskFolder} is made of; none lasts without a sync. */
interface DataDirectory {
    /** An open file. */
    interface OpenFile extends Closeable {
        /** Writes some or all of the bytes at a place of the file. */
        void write(ByteBuffer bytes, long at) throws IOException;

        /** The length of the file. */
        long length() throws IOException;

        /** Makes the bytes of the file last. */
        void sync() throws IOException;
    }

    /** The names of all files. */
    List<String> fileNames() throws IOException;

    /** The first bytes of a file, at most so many, or null if there is none. */
    byte[] read(String name, int most) throws IOException;

    /** Opens a file, which is made if there is none. */
    OpenFile open(String name) throws IOException;

    /** Gives a file another name; a file of that name goes. */
    void rename(String from, String to) throws IOException;

    /** Removes a file, if it is there. */
    void delete(String name) throws IOException;

    /** Makes all renamed and removed names last. */
    void sync() throws IOException;

    /** How many bytes may still be written, or 0 if that is not known. */
    long usableBytes();
}
