package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A proxy on the way to an address. While it is cut, no byte passes and no new connection is answered. */
final class Link {
    private final ServerSocket server;
    private final InetSocketAddress target;
    private volatile boolean isCut;

    Link(String host, String address) throws IOException {
        server = new ServerSocket(0, 200, InetAddress.getByName(host));
        String[] parts = address.split(":");
        target = new InetSocketAddress(parts[0], Integer.parseInt(parts[1]));
        Lab.daemon(this::acceptAll);
    }

    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    void setCut(boolean isCut) {
        this.isCut = isCut;
    }

    private void acceptAll() {
        while (true) {
            try {
                Socket near = server.accept();
                Lab.daemon(() -> relay(near));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void relay(Socket near) {
        try {
            awaitLink();
            Socket far = new Socket();
            far.connect(target, 1000);
            near.setTcpNoDelay(true);
            far.setTcpNoDelay(true);
            Lab.daemon(() -> pump(near, far));
            pump(far, near);
        } catch (IOException | InterruptedException ended) {
            // Both ends have timeouts of their own.
        }
    }

    private void awaitLink() throws InterruptedException {
        while (isCut) Thread.sleep(10);
    }

    private void pump(Socket from, Socket to) {
        byte[] buffer = new byte[16384];
        try (from; to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int length;
            while ((length = in.read(buffer)) >= 0) {
                awaitLink();
                out.write(buffer, 0, length);
                out.flush();
            }
            awaitLink();
        } catch (IOException | InterruptedException ended) {
            // The connection has ended.
        }
    }
}
