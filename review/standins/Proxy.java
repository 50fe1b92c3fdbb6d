import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Forwards connections to one address. While it is cut, nothing passes and nothing is answered or reset. */
final class Proxy {
    final String address;
    private final String target;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile boolean cut;

    Proxy(String target) throws IOException {
        this.target = target;
        ServerSocket server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        this.address = "127.0.0.1:" + server.getLocalPort();
        Web.THREADS.execute(() -> {
            while (true) {
                try {
                    Socket socket = server.accept();
                    Web.THREADS.execute(() -> connect(socket));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    /** Cuts or mends the link. What was under way when it was cut is lost. */
    void setCut(boolean now) {
        cut = now;
        if (!now) {
            open.forEach(Proxy::close);
            open.clear();
        }
    }

    private void connect(Socket near) {
        open.add(near);
        if (cut) {
            return;
        }
        try {
            int colon = target.lastIndexOf(':');
            Socket far = new Socket(target.substring(0, colon), Integer.parseInt(target.substring(colon + 1)));
            near.setTcpNoDelay(true);
            far.setTcpNoDelay(true);
            open.add(far);
            Web.THREADS.execute(() -> pump(near, far));
            pump(far, near);
        } catch (IOException e) {
            close(near);
        }
    }

    private void pump(Socket from, Socket to) {
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] buffer = new byte[16384];
            while (true) {
                int count = in.read(buffer);
                if (cut) {
                    return;
                }
                if (count < 0) {
                    break;
                }
                out.write(buffer, 0, count);
            }
        } catch (IOException e) {
            // The connection ends.
        }
        if (!cut) {
            close(from);
            close(to);
            open.remove(from);
            open.remove(to);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }
}
