package org.granitepath.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.granitepath.protocol.HttpStatus;
import org.junit.jupiter.api.Test;

/** Calls to a host on which connection attempts hang. */
class HttpCallsTest {
    private static final int CALLS = 40;

    private static long openFileDescriptors() throws IOException {
        try (Stream<Path> all = Files.list(Path.of("/proc/self/fd"))) {
            return all.count();
        }
    }

    /** The host's accept queue is full, so connection attempts hang. A call must free its socket when it times out. */
    @Test
    void timedOutCallsReleaseTheirSockets() throws Exception {
        EventLoop loop = new EventLoop();
        HttpCalls http = new HttpCalls(loop);
        try (ServerSocket fullSocket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            List<Socket> queuedSockets = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                queuedSockets.add(new Socket(fullSocket.getInetAddress(), fullSocket.getLocalPort()));
            }
            long descriptorsBefore = openFileDescriptors();
            CountDownLatch ended = new CountDownLatch(CALLS);
            List<Integer> statuses = new ArrayList<>();
            OutgoingRequest request =
                    OutgoingRequest.get("127.0.0.1:" + fullSocket.getLocalPort(), "/", ConnectionPolicy.CLOSE);
            loop.execute(() -> {
                for (int i = 0; i < CALLS; i++) {
                    http.call(request, 300_000, response -> {
                        statuses.add(response.status());
                        ended.countDown();
                    });
                }
            });
            assertTrue(ended.await(10, TimeUnit.SECONDS));
            CountDownLatch settled = new CountDownLatch(1);
            loop.after(300_000, settled::countDown);
            settled.await();
            assertEquals(
                    CALLS,
                    statuses.stream()
                            .filter(status -> status == HttpStatus.NO_RESPONSE)
                            .count());
            long leaked = openFileDescriptors() - descriptorsBefore;
            assertTrue(leaked < CALLS / 4, leaked + " sockets still open");
            for (Socket socket : queuedSockets) {
                socket.close();
            }
        } finally {
            loop.worker().shutdown();
        }
    }
}
