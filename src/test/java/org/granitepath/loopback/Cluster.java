package org.granitepath.loopback;

import java.io.IOException;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.granitepath.loopback.ControllerProcess.Reply;
import org.granitepath.protocol.Json;

/** Three controller processes, fake workers, a fake store and a fake cloud, connected over the loopback interface. */
final class Cluster implements AutoCloseable {
    private static final int CONTROLLERS = 3;
    private static final long HEARTBEAT_MILLIS = 1_000;
    /** Long enough for a fake worker to send its heartbeats in time when the test machine is under load. */
    private static final long LEASE_MILLIS = 20_000;

    /** A job that a user submits. The tasks of a service run until they are stopped, others for {@code runMillis}. */
    record Job(String id, boolean service, int tasks, int cpus, long runMillis) {
        String submission() {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("uid", id);
            fields.put("lane", service ? "live" : "batch");
            fields.put("owner", "team");
            fields.put("shape", service ? "daemon" : "batch");
            fields.put("rank", service ? "critical" : "standard");
            fields.put("pieces", tasks);
            fields.put("cpus", (double) cpus);
            fields.put("cards", 0.0);
            fields.put("mem_gb", 1.0);
            fields.put("bundle", "image");
            fields.put("size_gb", 1.0);
            fields.put("same_place", false);
            fields.put("scatter", false);
            fields.put("loaner", false);
            fields.put("expect_s", service ? 0.0 : runMillis / 1e3);
            fields.put("snapshot_s", 0.0);
            fields.put("flush_s", 0.0);
            return Json.encode(fields);
        }
    }

    private final ExecutorService executor = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });
    final HttpClient client = HttpClient.newBuilder()
            .executor(executor)
            .version(HttpClient.Version.HTTP_1_1)
            .build();
    final History history = new History();
    final FakeStore store = new FakeStore(executor);
    final FakeCloud cloud = new FakeCloud(executor);
    final List<FakeWorker> workers = new ArrayList<>();
    final List<ControllerProcess> controllers = new ArrayList<>();
    private final Map<String, Job> jobs = new ConcurrentHashMap<>();

    Cluster(Path dir, int workerCount) throws IOException {
        Map<String, String> addresses = new LinkedHashMap<>();
        Map<String, String> peerAddresses = new LinkedHashMap<>();
        LoopbackPorts ports = new LoopbackPorts();
        for (int i = 0; i < CONTROLLERS; i++) {
            addresses.put("node-" + i, "127.0.0.1:" + ports.reserve());
            peerAddresses.put("node-" + i, "127.0.0.1:" + ports.reserve());
        }
        Path tuning = Files.writeString(dir.resolve("tuning.yaml"), "recovery-hold-s: 60\n");
        for (String node : addresses.keySet()) {
            Path config = Files.writeString(dir.resolve(node + ".toml"), settings(node, addresses, peerAddresses));
            controllers.add(new ControllerProcess(
                    addresses.get(node), peerAddresses.get(node), client, config, tuning, dir.resolve(node + ".log")));
        }
        FakeWorker.Deployment deployment = new FakeWorker.Deployment(HEARTBEAT_MILLIS, LEASE_MILLIS, addresses);
        for (int i = 0; i < workerCount; i++) {
            FakeWorker worker = new FakeWorker(
                    String.format("i-%06d", i + 1), executor, client, deployment, this::runMillis, history);
            workers.add(worker);
            cloud.add(worker);
        }
    }

    private String settings(String node, Map<String, String> addresses, Map<String, String> peerAddresses) {
        StringBuilder text = new StringBuilder("""
                node_name = "%s"
                site = "elsewhere"
                serve_on = "%s"
                back = "%s"
                """.formatted(node, addresses.get(node), peerAddresses.get(node)));
        for (String other : addresses.keySet()) {
            if (!other.equals(node)) {
                text.append("[[others]]\nnode_name = \"%s\"\nsite = \"elsewhere\"\naddr = \"%s\"\n"
                        .formatted(other, peerAddresses.get(other)));
            }
        }
        return text.append("""
                [services]
                cloud = "%s"
                state = "%s"
                [facts]
                zones = ["%s"]
                skew_ms = 1.0
                [[facts.teams]]
                name = "team"
                cpus = 0.0
                [facts.workers]
                report_s = %s
                lease_s = %s
                cancel_s = 60.0
                [facts.state]
                rps = 1000.0
                write_rps = 500.0
                value_kb = 8.0
                txn_ops = 8
                [facts.cloud]
                rps = 5.0
                list_lag_s = 1.0
                """.formatted(
                        cloud.address(), store.address(), FakeCloud.ZONE, HEARTBEAT_MILLIS / 1e3, LEASE_MILLIS / 1e3))
                .toString();
    }

    private long runMillis(String job) {
        Job known = jobs.get(job);
        return known == null || known.service() ? -1 : known.runMillis();
    }

    /** Starts all controllers, and does not wait until they are ready. */
    void startControllers() throws IOException {
        for (ControllerProcess controller : controllers) {
            controller.start();
        }
    }

    /** Kills all controllers without a warning, and waits until their processes have ended. */
    void killControllers() throws InterruptedException {
        for (ControllerProcess controller : controllers) {
            controller.kill();
        }
    }

    /** Fails if a controller that was started has exited by itself, for example because its port was taken. */
    void assertControllersRun() {
        for (ControllerProcess controller : controllers) {
            controller.assertRunning();
        }
    }

    void startWorkers() {
        workers.forEach(FakeWorker::start);
    }

    boolean isService(String job) {
        return jobs.get(job).service();
    }

    /** Tells the workers how long the tasks of a job run, which a test then submits by itself. */
    void announce(Job job) {
        jobs.put(job.id(), job);
    }

    /** Submits a job to one controller after the other until one has accepted it. */
    void submit(Job job) throws InterruptedException {
        announce(job);
        String body = job.submission();
        for (int i = 0; ; i++) {
            int status = controllers
                    .get(i % controllers.size())
                    .post("/submissions", body)
                    .status();
            if (status == 200 || status == 201) {
                return;
            }
            if (status == 400 || status == 422) {
                throw new IllegalStateException("submission rejected with status " + status);
            }
            Thread.sleep(200);
        }
    }

    /** Whether the first controller that knows the job's state reports it as done. */
    boolean isDone(String job) throws InterruptedException {
        for (ControllerProcess controller : controllers) {
            Reply reply = controller.get("/submissions/" + job);
            if (reply.status() == 200) {
                return "done".equals(reply.body().get("status"));
            }
        }
        return false;
    }

    @Override
    public void close() {
        controllers.forEach(ControllerProcess::close);
        workers.forEach(FakeWorker::close);
        cloud.close();
        store.close();
        executor.shutdownNow();
    }
}
