package org.granitepath.loopback;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Predicate;
import org.granitepath.protocol.Json;
import org.granitepath.storage.Fields;

/**
 * A stand-in for a machine's worker over real sockets: heartbeats, agent epochs, leases, fencing tokens and commands
 * as the protocol has them. Images are there at once, and nothing is saved.
 */
final class FakeWorker extends FakeHttpServer {
    /** How long tasks of a job run; negative: until they are stopped. */
    interface RunTimes {
        long millisOf(String job);
    }

    /** The times of the workers, and the controllers they know by name. */
    record Deployment(long heartbeatMillis, long leaseMillis, Map<String, String> controllers) {}

    private record Key(String task, long attempt) {}

    private static final class Run {
        String status = "running";
        String cause;
        long endNanos;
    }

    private static final long LEAST_SPACING_MILLIS = 500;
    /** How often it checks whether a task has ended. */
    private static final long CHECK_MILLIS = 100;

    private static final long NEXT_CONTROLLER_MILLIS = 1_000;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(4);

    private final String id;
    private final Deployment deployment;
    private final RunTimes runTimes;
    private final History history;
    private final HttpClient client;
    private final Thread heartbeats;
    private final Map<Key, Run> runs = new LinkedHashMap<>();
    private long agentEpoch = 1;
    private long sequence;
    private long fencingToken;
    private long leaseFromNanos = System.nanoTime();
    private boolean changed;
    private boolean closed;

    FakeWorker(
            String id,
            Executor executor,
            HttpClient client,
            Deployment deployment,
            RunTimes runTimes,
            History history) {
        super(executor);
        this.id = id;
        this.client = client;
        this.deployment = deployment;
        this.runTimes = runTimes;
        this.history = history;
        this.heartbeats = new Thread(this::sendHeartbeats, "worker " + id);
        listen();
    }

    void start() {
        heartbeats.setDaemon(true);
        heartbeats.start();
    }

    String id() {
        return id;
    }

    @Override
    public void close() {
        synchronized (this) {
            closed = true;
            killAll();
        }
        heartbeats.interrupt();
        super.close();
    }

    /** Whether a task of such a job is here and has not ended. */
    synchronized boolean holds(Predicate<String> jobs) {
        return runs.entrySet().stream()
                .anyMatch(entry -> entry.getValue().cause == null
                        && jobs.test(History.jobOf(entry.getKey().task())));
    }

    /** Tasks of such jobs end here, stopped by nobody who is there any more. */
    synchronized void endTasks(Predicate<String> jobs) {
        runs.forEach((key, run) -> {
            if (run.cause == null && jobs.test(History.jobOf(key.task()))) {
                exit(key, run, "stopped");
            }
        });
    }

    // ---- heartbeats --------------------------------------------------------------------------------------------

    private void sendHeartbeats() {
        List<String> names = List.copyOf(deployment.controllers().keySet());
        int at = Math.floorMod(id.hashCode(), names.size());
        try {
            while (true) {
                String named = sendHeartbeatTo(names.get(at));
                if (named != null && names.get(at).equals(named)) {
                    await();
                } else if (named != null && names.contains(named)) {
                    at = names.indexOf(named);
                } else {
                    at = (at + 1) % names.size();
                    Thread.sleep(NEXT_CONTROLLER_MILLIS);
                }
            }
        } catch (InterruptedException e) {
            // closed
        }
    }

    /** Until the next heartbeat is due, or something has changed, but not at once. */
    private synchronized void await() throws InterruptedException {
        long now = System.nanoTime();
        long earliest = now + LEAST_SPACING_MILLIS * 1_000_000;
        long due = now + deployment.heartbeatMillis() * 1_000_000;
        while (System.nanoTime() - (changed ? earliest : due) < 0) {
            wait(CHECK_MILLIS);
            advance();
        }
    }

    /** The controller to send the next heartbeat to: this one, one it names, or null when it had no answer for us. */
    private String sendHeartbeatTo(String node) throws InterruptedException {
        long sent = System.nanoTime();
        long ofAgentEpoch;
        String body;
        synchronized (this) {
            advance();
            changed = false;
            ofAgentEpoch = agentEpoch;
            body = Json.text(heartbeat());
        }
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + deployment.controllers().get(node) + "/agent/beat"))
                .timeout(CALL_TIMEOUT)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        try {
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            Map<String, Object> answer = Json.object(response.body());
            if (response.statusCode() == 200 && answer != null) {
                accept(answer, ofAgentEpoch, sent);
                return node;
            }
            return response.statusCode() == 421 && answer != null ? Fields.textOf(answer, "supervisor") : null;
        } catch (IOException e) {
            return null;
        }
    }

    private synchronized void accept(Map<String, Object> answer, long ofAgentEpoch, long sentNanos) {
        advance();
        long token = Fields.longOf(answer, "baton", 0);
        if (closed || ofAgentEpoch != agentEpoch || token < fencingToken) {
            return;
        }
        raise(token);
        leaseFromNanos = Math.max(leaseFromNanos, sentNanos);
        execute(Fields.listOf(answer, "orders"));
    }

    private void raise(long token) {
        changed |= token > fencingToken;
        fencingToken = token;
    }

    private Map<String, Object> heartbeat() {
        List<Object> tasks = new ArrayList<>();
        runs.forEach((key, run) -> {
            Map<String, Object> task = new LinkedHashMap<>();
            task.put("piece", key.task());
            task.put("try", key.attempt());
            task.put("status", run.status);
            if (run.cause != null) {
                task.put("cause", run.cause);
            }
            tasks.add(task);
        });
        Map<String, Object> heartbeat = new LinkedHashMap<>();
        heartbeat.put("host", id);
        heartbeat.put("address", address());
        heartbeat.put("model", FakeCloud.TYPE);
        heartbeat.put("site", FakeCloud.ZONE);
        heartbeat.put("loaner", false);
        heartbeat.put("shift", agentEpoch);
        heartbeat.put("tally", ++sequence);
        heartbeat.put("baton", fencingToken);
        heartbeat.put("pieces", tasks);
        return heartbeat;
    }

    // ---- tasks -------------------------------------------------------------------------------------------------

    /** What the time that has passed brings: the end of the lease, and of tasks. */
    private void advance() {
        long now = System.nanoTime();
        if (now - leaseFromNanos > deployment.leaseMillis() * 1_000_000) {
            killAll();
            agentEpoch++;
            leaseFromNanos = now;
            changed = true;
        }
        runs.forEach((key, run) -> {
            if (run.cause == null && run.endNanos != 0 && now - run.endNanos > 0) {
                exit(key, run, "done");
            }
        });
    }

    private void killAll() {
        runs.forEach((key, run) -> {
            if (run.cause == null) {
                history.left(id, key.task(), key.attempt(), false);
            }
        });
        runs.clear();
    }

    private void exit(Key key, Run run, String cause) {
        run.status = "ended";
        run.cause = cause;
        changed = true;
        history.left(id, key.task(), key.attempt(), cause.equals("done"));
    }

    @SuppressWarnings("unchecked")
    private void execute(List<?> commands) {
        for (Object each : commands) {
            Map<String, Object> command = (Map<String, Object>) each;
            Key key = new Key(Fields.textOf(command, "piece"), Fields.longOf(command, "try", 0));
            Run run = runs.get(key);
            switch (Fields.textOf(command, "verb")) {
                case "start" -> start(key, run);
                case "halt" -> {
                    if (run != null && run.cause == null) {
                        exit(key, run, "stopped");
                    }
                }
                default -> {
                    if (run != null && run.cause != null) {
                        runs.remove(key);
                    }
                }
            }
        }
    }

    private void start(Key key, Run known) {
        history.startCommanded(id, agentEpoch, key.task(), key.attempt());
        if (known != null) {
            return;
        }
        Run run = new Run();
        boolean inUse = runs.entrySet().stream()
                .anyMatch(entry -> entry.getKey().task().equals(key.task()) && entry.getValue().cause == null);
        runs.put(key, run);
        changed = true;
        if (inUse) {
            run.status = "ended";
            run.cause = "in_use";
            return;
        }
        history.begun(id, key.task(), key.attempt());
        long millis = history.wasCompleted(key.task()) ? 0 : runTimes.millisOf(History.jobOf(key.task()));
        run.endNanos = millis < 0 ? 0 : System.nanoTime() + millis * 1_000_000;
    }

    // ---- direct commands ---------------------------------------------------------------------------------------

    @Override
    synchronized Answer answer(String method, String path, Map<String, String> query, Map<String, Object> body) {
        advance();
        if (!path.equals("/orders")) {
            return Answer.error(404, "a worker takes commands only");
        }
        if (closed) {
            return Answer.ok(heartbeat());
        }
        long token = Fields.longOf(body, "baton", 0);
        boolean holds = token >= fencingToken && Fields.longOf(body, "shift", 0) == agentEpoch;
        if (holds) {
            raise(token);
            execute(Fields.listOf(body, "orders"));
        }
        return new Answer(holds ? 200 : 409, heartbeat());
    }
}
