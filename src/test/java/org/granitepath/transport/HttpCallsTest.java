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

class HttpCallsTest {
    private static final int CALLS = 40;

    private static long descriptors() throws IOException {
        try (Stream<Path> all = Files.list(Path.of("/proc/self/fd"))) {
            return all.count();
        }
    }

    /** A host that lets connection attempts hang: a call that has timed out must not hold its socket any longer. */
    @Test
    void callsThatTimedOutHoldNoSocket() throws Exception {
        EventLoop loop = new EventLoop();
        HttpCalls http = new HttpCalls(loop);
        try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            List<Socket> filling = new ArrayList<>();
            for (int i = 0; i < 2; i++) {
                filling.add(new Socket(full.getInetAddress(), full.getLocalPort()));
            }
            long before = descriptors();
            CountDownLatch ended = new CountDownLatch(CALLS);
            List<Integer> statuses = new ArrayList<>();
            OutgoingRequest request =
                    OutgoingRequest.get("127.0.0.1:" + full.getLocalPort(), "/", ConnectionPolicy.CLOSE);
            loop.execute(() -> {
                for (int i = 0; i < CALLS; i++) {
                    http.call(request, 300_000, answer -> {
                        statuses.add(answer.status());
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
            long held = descriptors() - before;
            assertTrue(held < CALLS / 4, held + " sockets held");
            for (Socket socket : filling) {
                socket.close();
            }
        } finally {
            loop.worker().shutdown();
        }
    }
}
