package org.granitepath.cli;

import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.granitepath.transport.ConnectionPolicy;
import org.granitepath.transport.EventLoop;
import org.granitepath.transport.HttpCalls;
import org.granitepath.transport.OutgoingRequest;

/**
 * Training run for class data sharing (CDS). Starts a controller on loopback without a store or a cloud, sends it one
 * request of each kind and exits. The build runs this command to record the classes that are loaded at startup.
 */
@Parameters(hidden = true, commandDescription = "starts a controller briefly to train the class archive of the build")
final class ClassArchiveTrainingCommand extends Command {
    private static final String SUBMISSION = """
            {"uid":"run-1","lane":"a","owner":"t","shape":"batch","rank":"high","pieces":1,\
            "cpus":1.0,"cards":0.0,"mem_gb":1.0,"bundle":"b","size_gb":1.0,\
            "same_place":false,"scatter":false,"loaner":false,"expect_s":1.0,"snapshot_s":0.0,"flush_s":0.0}""";
    private static final String HEARTBEAT = """
            {"host":"i-1","address":"127.0.0.1:1","model":"m","site":"z","loaner":false,\
            "shift":1,"tally":1,"baton":0,"pieces":[]}""";

    private static final long REQUEST_TIMEOUT_MICROS = 2_000_000;
    private static final int RESPONSES_TIMEOUT_SECONDS = 5;

    @Override
    int run() throws IOException, InterruptedException {
        int port = freePort();
        startController(port);
        sendRequests("127.0.0.1:" + port);
        // The threads of the controller would keep the process alive.
        System.exit(OK);
        return OK;
    }

    private static void startController(int port) throws IOException {
        int peerPort = freePort();
        int closedPort = freePort();
        Path file = Files.createTempFile("granitepath", ".toml");
        Files.writeString(file, LoopbackSettings.withItselfAsPeer(port, peerPort, closedPort));
        Main.execute("serve", "--config", file.toString());
        Files.delete(file);
    }

    /** Sends one request of each kind and waits for their ends, at most {@link #RESPONSES_TIMEOUT_SECONDS}. */
    private static void sendRequests(String address) throws IOException, InterruptedException {
        List<OutgoingRequest> requests = List.of(
                OutgoingRequest.get(address, "/up", ConnectionPolicy.CLOSE),
                OutgoingRequest.postJson(address, "/submissions", SUBMISSION, ConnectionPolicy.KEEP_ALIVE),
                OutgoingRequest.postJson(address, "/agent/beat", HEARTBEAT, ConnectionPolicy.KEEP_ALIVE),
                OutgoingRequest.get(address, "/submissions/run-1", ConnectionPolicy.KEEP_ALIVE));
        CountDownLatch remaining = new CountDownLatch(requests.size());
        EventLoop loop = new EventLoop();
        HttpCalls http = new HttpCalls(loop);
        loop.execute(() -> {
            for (OutgoingRequest request : requests) {
                http.call(request, REQUEST_TIMEOUT_MICROS, response -> remaining.countDown());
            }
        });
        remaining.await(RESPONSES_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }
}
