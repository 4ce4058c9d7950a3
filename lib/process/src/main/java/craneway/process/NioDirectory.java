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

/** A directory of the platform. */
final class NioDirectory implements DataDirectory {
    private record Channel(FileChannel channel) implements OpenFile {
        @Override
        public void write(ByteBuffer bytes, long at) throws IOException {
            channel.write(bytes, at);
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
        try (var all = Files.list(root)) {
            return all.map(p -> p.getFileName().toString()).toList();
        }
    }

    @Override
    public byte[] read(String name, int most) throws IOException {
        try (var in = Files.newInputStream(root.resolve(name))) {
            return most == Integer.MAX_VALUE ? in.readAllBytes() : in.readNBytes(most);
        } catch (NoSuchFileException e) {
            return null;
        }
    }

    @Override
    public OpenFile open(String name) throws IOException {
        return new Channel(FileChannel.open(root.resolve(name), StandardOpenOption.WRITE, StandardOpenOption.CREATE));
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

    @Override
    public void sync() throws IOException {
        try (var c = FileChannel.open(root, StandardOpenOption.READ)) {
            c.force(true);
        }
    }

    @Override
    public long usableBytes() {
        return root.toFile().getUsableSpace();
    }
}
