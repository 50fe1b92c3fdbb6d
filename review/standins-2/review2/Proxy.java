package review2;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * A TCP proxy on a loopback port that can hold what passes through it. What is held is delivered in order when the hold
 * ends; a connection that was opened during the hold is closed then.
 */
final class Proxy implements AutoCloseable {
    private final ServerSocket listener;
    private final InetSocketAddress target;
    private boolean holding;

    Proxy(int targetPort) throws IOException {
        listener = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
        target = new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort);
        start(this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    synchronized void hold(boolean hold) {
        holding = hold;
        notifyAll();
    }

    /** Waits while the proxy holds; returns whether it had to wait. */
    private synchronized boolean awaitPassage() {
        boolean waited = false;
        while (holding) {
            waited = true;
            try {
                wait();
            } catch (InterruptedException e) {
                return true;
            }
        }
        return waited;
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket client = listener.accept();
                start(() -> connect(client));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void connect(Socket client) {
        try {
            if (awaitPassage()) {
                client.close();
                return;
            }
            Socket server = new Socket();
            server.connect(target);
            client.setTcpNoDelay(true);
            server.setTcpNoDelay(true);
            start(() -> pump(client, server));
            pump(server, client);
        } catch (IOException e) {
            close(client);
        }
    }

    private void pump(Socket from, Socket to) {
        byte[] buffer = new byte[16 * 1024];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            while (true) {
                int count = in.read(buffer);
                awaitPassage();
                if (count < 0) {
                    break;
                }
                out.write(buffer, 0, count);
                out.flush();
            }
        } catch (IOException e) {
            awaitPassage();
        }
        close(from);
        close(to);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // closed
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
