package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in of a runner. It serves one request at a time on a connection, as its script says. */
final class Runner {
    /** Answers a request; returns false to close the connection, throws to reset it. */
    interface Script {
        boolean answer(Runner runner, Message request, Socket socket) throws IOException, InterruptedException;
    }

    final String id;
    private final String host;
    private final int port;
    private final Script script;
    private ServerSocket server;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    volatile boolean isUp;

    Runner(String id, String host, Script script) throws IOException {
        this.id = id;
        this.host = host;
        this.script = script;
        server = new ServerSocket(0, 200, InetAddress.getByName(host));
        port = server.getLocalPort();
        isUp = true;
        listen(server);
    }

    String address() {
        return host + ":" + port;
    }

    private void listen(ServerSocket on) {
        Lab.daemon(() -> {
            while (!on.isClosed()) {
                try {
                    Socket socket = on.accept();
                    open.add(socket);
                    Lab.daemon(() -> serve(socket));
                } catch (IOException closed) {
                    return;
                }
            }
        });
    }

    private void serve(Socket socket) {
        try {
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            while (isUp) {
                Message request = Message.read(in);
                if (request == null) break;
                String expected = request.get("x-medlarhook-expect-instance");
                if (expected != null && !expected.equals(id)) {
                    send(socket, head(request, "421 Misdirected") + "Content-Length: 0\r\n\r\n");
                    continue;
                }
                if (!script.answer(this, request, socket)) break;
            }
        } catch (IOException | InterruptedException ended) {
            // Reset below.
        } finally {
            open.remove(socket);
            close(socket);
        }
    }

    /** Crashes: resets all connections and listens no more. */
    void crash() throws IOException {
        isUp = false;
        server.close();
        for (Socket socket : open) {
            try {
                socket.setSoLinger(true, 0);
            } catch (IOException closed) {
                // It has ended by itself.
            }
            close(socket);
        }
    }

    /** Starts again at its address. */
    void restart() throws IOException {
        ServerSocket again = new ServerSocket();
        again.setReuseAddress(true);
        again.bind(new java.net.InetSocketAddress(InetAddress.getByName(host), port), 200);
        server = again;
        isUp = true;
        listen(again);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException closed) {
            // Nothing is left to close.
        }
    }

    /** The status line and the headers that each answer of a runner has. */
    String head(Message request, String status) {
        return "HTTP/1.1 " + status + "\r\nX-Medlarhook-Attempt-Id: " + request.get("x-medlarhook-attempt-id")
                + "\r\nX-Medlarhook-Server-Stamp: stamp." + id + "\r\n";
    }

    static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }
}
