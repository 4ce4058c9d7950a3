package craneway.process;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;

/** A directory of the file system, accessed through {@code java.nio}. */
final class NioDirectory implements DataDirectory {
    private record ChannelFile(FileChannel channel) implements OpenFile {
        @Override
        public void write(ByteBuffer bytes, long position) throws IOException {
            channel.write(bytes, position);
        }

        @Override
        public long length() throws IOException {
            return channel.size();
        }

        @Override
        public void sync() throws IOException {
            channel.force(false);
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }

    private final Path root;

    NioDirectory(Path root) {
        this.root = root;
    }

    @Override
    public List<String> fileNames() throws IOException {
        try (var paths = Files.list(root)) {
            return paths.map(p -> p.getFileName().toString()).toList();
        }
    }

    @Override
    public byte[] read(String name, int maxBytes) throws IOException {
        try (var in = Files.newInputStream(root.resolve(name))) {
            return maxBytes == Integer.MAX_VALUE ? in.readAllBytes() : in.readNBytes(maxBytes);
        } catch (NoSuchFileException e) {
            return null;
        }
    }

    @Override
    public OpenFile open(String name) throws IOException {
        return new ChannelFile(
                FileChannel.open(root.resolve(name), StandardOpenOption.WRITE, StandardOpenOption.CREATE));
    }

    @Override
    public void rename(String from, String to) throws IOException {
        Files.move(
                root.resolve(from),
                root.resolve(to),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(root.resolve(name));
    }

    /** Syncs the directory itself; on Linux that makes its names durable. */
    @Override
    public void sync() throws IOException {
        try (var directory = FileChannel.open(root, StandardOpenOption.READ)) {
            directory.force(true);
        }
    }

    @Override
    public long usableBytes() {
        return root.toFile().getUsableSpace();
    }
}
