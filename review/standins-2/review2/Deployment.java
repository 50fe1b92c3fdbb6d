package review2;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.granitepath.protocol.Json;

/**
 * Controllers that run as processes with the command of the deploy file, each with its own proxies to the state service
 * and to the other controllers, and users who call them directly.
 */
final class Deployment implements AutoCloseable {
    /** An answer; status 0 if there was none. */
    record Reply(int status, Map<String, Object> body) {
        Object state() {
            return body == null ? null : body.get("status");
        }
    }

    final Record record;
    final Map<String, String> addresses = new LinkedHashMap<>();
    final Map<String, Integer> backPorts = new LinkedHashMap<>();
    final Map<String, Proxy> toStore = new LinkedHashMap<>();
    /** The proxies to a node's {@code back}, by "caller to callee". */
    final Map<String, Proxy> toPeer = new LinkedHashMap<>();

    final Map<String, Long> jobs = new ConcurrentHashMap<>();
    final List<Worker> workers = new CopyOnWriteArrayList<>();
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final Map<String, Path> settings = new LinkedHashMap<>();
    private final Path folder;
    private final List<String> run;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /**
     * @param sites the zone of each controller
     * @param facts the tables of {@code [facts]} in the settings
     */
    Deployment(Record record, Path folder, List<String> sites, Store store, Cloud cloud, String facts)
            throws IOException {
        this.record = record;
        this.folder = folder;
        Matcher command = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(Path.of("deploy/service.toml")));
        if (!command.find()) {
            throw new IOException("no run command in deploy/service.toml");
        }
        run = List.of(command.group(1).trim().split(" +"));
        Set<Integer> taken = new HashSet<>();
        for (int i = 0; i < sites.size(); i++) {
            addresses.put("worker-" + i, "127.0.0.1:" + freePort(taken));
            backPorts.put("worker-" + i, freePort(taken));
        }
        List<String> nodes = List.copyOf(addresses.keySet());
        for (int i = 0; i < nodes.size(); i++) {
            String node = nodes.get(i);
            toStore.put(node, new Proxy(store.port()));
            StringBuilder text = new StringBuilder();
            text.append("node_name = \"").append(node).append("\"\n");
            text.append("site = \"").append(sites.get(i)).append("\"\n");
            text.append("serve_on = \"").append(addresses.get(node)).append("\"\n");
            text.append("back = \"127.0.0.1:").append(backPorts.get(node)).append("\"\n");
            for (int j = 0; j < nodes.size(); j++) {
                if (i != j) {
                    Proxy proxy = new Proxy(backPorts.get(nodes.get(j)));
                    toPeer.put(node + " to " + nodes.get(j), proxy);
                    text.append("[[others]]\nnode_name = \"").append(nodes.get(j));
                    text.append("\"\nsite = \"").append(sites.get(j));
                    text.append("\"\naddr = \"").append(proxy.address()).append("\"\n");
                }
            }
            text.append("[services]\ncloud = \"").append(cloud.address());
            text.append("\"\nstate = \"").append(toStore.get(node).address()).append("\"\n");
            text.append(facts);
            settings.put(node, Files.writeString(folder.resolve(node + ".toml"), text));
        }
    }

    /** A free port below the ephemeral range. */
    private static int freePort(Set<Integer> taken) throws IOException {
        for (int i = 0; i < 10_000; i++) {
            int port = ThreadLocalRandom.current().nextInt(20_000, 32_000);
            if (!taken.contains(port)) {
                try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                    taken.add(port);
                    return port;
                } catch (IOException e) {
                    // in use
                }
            }
        }
        throw new IOException("no free port");
    }

    void startNode(String node) throws IOException {
        List<String> command = new ArrayList<>(run);
        command.add(settings.get(node).toString());
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("LOG_LEVEL", "info");
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(node + ".log").toFile()));
        processes.put(node, builder.start());
        record.line("%s: process started", node);
    }

    void startAll() throws IOException {
        for (String node : addresses.keySet()) {
            startNode(node);
        }
    }

    /** Kills a controller without a signal that it could handle, and waits for its end. */
    void kill(String node) throws InterruptedException {
        processes.get(node).destroyForcibly().waitFor();
        record.line("%s: killed", node);
    }

    boolean isAlive(String node) {
        return processes.get(node).isAlive();
    }

    Path log(String node) {
        return folder.resolve(node + ".log");
    }

    /** Holds or releases what passes between a controller and the state service and the other controllers. */
    void cut(String node, boolean fromStore, boolean fromPeers, boolean hold) {
        record.line(
                "%s: %s%s%s",
                node,
                hold ? "cut off from" : "reaches again",
                fromStore ? " the state service" : "",
                fromPeers ? " the other controllers" : "");
        if (fromStore) {
            toStore.get(node).hold(hold);
        }
        if (fromPeers) {
            toPeer.forEach((path, proxy) -> {
                if (path.startsWith(node + " to ") || path.endsWith(" to " + node)) {
                    proxy.hold(hold);
                }
            });
        }
    }

    Reply call(String node, String method, String path, String body, int timeoutMillis) throws InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + addresses.get(node) + path))
                .timeout(Duration.ofMillis(timeoutMillis))
                .method(
                        method,
                        body == null
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofString(body))
                .build();
        Reply reply;
        try {
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            reply = new Reply(response.statusCode(), Json.decodeObject(response.body()));
        } catch (IOException e) {
            reply = new Reply(0, Map.of());
        }
        if (!path.equals("/up")) {
            record.line("user: %s %s at %s -> %d %s", method, path, node, reply.status(), reply.body());
        }
        return reply;
    }

    Reply poll(String node, String job) throws InterruptedException {
        return call(node, "GET", "/submissions/" + job, null, 2_000);
    }

    Reply cancel(String node, String job) throws InterruptedException {
        return call(node, "POST", "/submissions/" + job + "/cancel", null, 5_000);
    }

    /** Submits a job at the healthy nodes in turn until it is accepted. */
    boolean submit(Map<String, Object> job, long runMillis) throws InterruptedException {
        String id = (String) job.get("uid");
        jobs.put(id, runMillis);
        String body = Json.encode(job);
        List<String> nodes = List.copyOf(addresses.keySet());
        for (int i = 0; i < 30; i++) {
            int status = call(nodes.get(i % nodes.size()), "POST", "/submissions", body, 5_000).status();
            if (status == 200 || status == 201) {
                return true;
            }
            Thread.sleep(1_000);
        }
        return false;
    }

    static Map<String, Object> job(
            String id, String lane, String owner, String shape, String rank, int pieces, double cpus, double memory) {
        Map<String, Object> job = new LinkedHashMap<>();
        job.put("uid", id);
        job.put("lane", lane);
        job.put("owner", owner);
        job.put("shape", shape);
        job.put("rank", rank);
        job.put("pieces", pieces);
        job.put("cpus", cpus);
        job.put("cards", 0.0);
        job.put("mem_gb", memory);
        job.put("bundle", "img-" + lane);
        job.put("size_gb", 1.2);
        job.put("same_place", false);
        job.put("scatter", false);
        job.put("loaner", false);
        job.put("expect_s", shape.equals("daemon") ? 0.0 : 35.0);
        job.put("snapshot_s", 0.0);
        job.put("flush_s", 0.0);
        return job;
    }

    Worker addWorker(Cloud cloud, String id, String model, String site, Worker.Timing timing) {
        Worker worker = new Worker(id, model, site, false, timing, addresses, jobs::get, record);
        workers.add(worker);
        cloud.add(worker);
        return worker;
    }

    /** Makes a worker that the cloud's new machine runs. */
    synchronized Worker newWorker(String id, String model, String site, boolean loaner, Worker.Timing timing) {
        Worker worker = new Worker(id, model, site, loaner, timing, addresses, jobs::get, record);
        workers.add(worker);
        return worker;
    }

    boolean isUp(String node) throws InterruptedException {
        return call(node, "GET", "/up", null, 1_000).status() == 200;
    }

    /** Waits until a condition holds; returns whether it did in time. */
    static boolean await(int timeoutMillis, Condition condition) throws Exception {
        long end = System.nanoTime() + timeoutMillis * 1_000_000L;
        while (System.nanoTime() < end) {
            if (condition.holds()) {
                return true;
            }
            Thread.sleep(20);
        }
        return condition.holds();
    }

    interface Condition {
        boolean holds() throws Exception;
    }

    @Override
    public void close() {
        processes.values().forEach(Process::destroyForcibly);
        processes.values().forEach(process -> process.onExit().join());
        workers.forEach(Worker::close);
    }
}
