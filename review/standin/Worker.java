import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.charset.StandardCharsets;

/**
 * One of the processes of a model runner. They listen at the runner's one address (SO_REUSEPORT), as servers with several workers
 * do. Its answers have no length and end with their connection. Arguments: IP, port, the runner's id.
 */
final class Worker {
    public static void main(String[] args) throws IOException {
        var server = new ServerSocket();
        server.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        server.bind(new InetSocketAddress(args[0], Integer.parseInt(args[1])), 256);
        System.out.println("listens");
        while (true) {
            var s = server.accept();
            s.setTcpNoDelay(true);
            Runner.thread(() -> serve(s, args[2]), "call");
        }
    }

    private static void serve(Socket s, String id) {
        try (s) {
            answer(s, s.getOutputStream(), id);
        } catch (IOException | InterruptedException e) {
            // its caller has gone
        }
    }

    private static void answer(Socket s, OutputStream out, String id) throws IOException, InterruptedException {
        var a = Runner.read(s.getInputStream());
        var to = a.headers().get("craneway-addressee");
        if (to != null && !to.equals(id)) {
            out.write(("HTTP/1.1 421 X\r\nCraneway-Try-Id: " + a.tryId()
                            + "\r\nCraneway-Not-Run: addressee\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            return;
        }
        System.out.println("runs " + a.tryId() + " " + a.target());
        var parts = a.target().split("[/?]");
        var pieces = Integer.parseInt(parts[2]);
        var after = a.headers().containsKey("last-event-id") ? Integer.parseInt(a.headers().get("last-event-id")) : 0;
        out.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCraneway-Try-Id: " + a.tryId()
                        + "\r\nCraneway-Postmark: p." + id + "." + a.tryId()
                        + "\r\nCraneway-Weight-Versions: 1\r\nConnection: close\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        for (var i = after + 1; i <= pieces; i++) {
            Thread.sleep(Integer.parseInt(parts[3]));
            out.write(("id: " + i + "\ndata: " + id + " " + a.tryId() + " piece " + i + "\n\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
        }
        System.out.println("has made all " + pieces + " pieces of " + a.tryId());
    }
}
