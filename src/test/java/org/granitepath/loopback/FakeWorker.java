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
 * A fake worker on one machine that communicates over real sockets. It implements the protocol's heartbeats, agent
 * epochs, leases, fencing tokens and commands. Images are available at once, and tasks save no checkpoints.
 */
final class FakeWorker extends FakeHttpServer {
    /** How long the tasks of a job run. A negative time means until they are stopped. */
    interface RunTimes {
        long millisOf(String job);
    }

    /** The heartbeat interval and the lease of the workers, and the addresses of the controllers by name. */
    record Deployment(long heartbeatMillis, long leaseMillis, Map<String, String> controllers) {}

    private record Key(String task, long attempt) {}

    private static final class Run {
        String status = "running";
        String cause;
        long endNanos;
    }

    private static final long MIN_HEARTBEAT_SPACING_MILLIS = 500;
    /** The interval between checks whether a task has ended. */
    private static final long CHECK_INTERVAL_MILLIS = 100;

    private static final long NEXT_CONTROLLER_DELAY_MILLIS = 1_000;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(4);

    private final String id;
    private final Deployment deployment;
    private final RunTimes runTimes;
    private final History history;
    private final HttpClient client;
    private final Thread heartbeatThread;
    private final Map<Key, Run> runs = new LinkedHashMap<>();
    private long agentEpoch = 1;
    private long sequence;
    private long fencingToken;
    private long leaseStartNanos = System.nanoTime();
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
        this.heartbeatThread = new Thread(this::sendHeartbeats, "worker " + id);
        listen();
    }

    void start() {
        heartbeatThread.setDaemon(true);
        heartbeatThread.start();
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
        heartbeatThread.interrupt();
        super.close();
    }

    /** Whether a task of a matching job runs here. */
    synchronized boolean holds(Predicate<String> jobs) {
        return runs.entrySet().stream()
                .anyMatch(entry -> entry.getValue().cause == null
                        && jobs.test(History.jobOf(entry.getKey().task())));
    }

    /** Ends the tasks of matching jobs, as if a former controller had stopped them. */
    synchronized void endTasks(Predicate<String> jobs) {
        runs.forEach((key, run) -> {
            if (run.cause == null && jobs.test(History.jobOf(key.task()))) {
                exit(key, run, "stopped");
            }
        });
    }

    private void sendHeartbeats() {
        List<String> names = List.copyOf(deployment.controllers().keySet());
        int current = Math.floorMod(id.hashCode(), names.size());
        try {
            while (true) {
                String leader = sendHeartbeatTo(names.get(current));
                if (leader != null && names.get(current).equals(leader)) {
                    awaitNextHeartbeat();
                } else if (leader != null && names.contains(leader)) {
                    current = names.indexOf(leader);
                } else {
                    current = (current + 1) % names.size();
                    Thread.sleep(NEXT_CONTROLLER_DELAY_MILLIS);
                }
            }
        } catch (InterruptedException e) {
            // The worker was closed, so the thread ends.
        }
    }

    /** Waits until the next heartbeat is due, or until a change has to be reported after the minimum spacing. */
    private synchronized void awaitNextHeartbeat() throws InterruptedException {
        long now = System.nanoTime();
        long earliest = now + MIN_HEARTBEAT_SPACING_MILLIS * 1_000_000;
        long due = now + deployment.heartbeatMillis() * 1_000_000;
        while (System.nanoTime() - (changed ? earliest : due) < 0) {
            wait(CHECK_INTERVAL_MILLIS);
            advance();
        }
    }

    /** Returns the controller for the next heartbeat: this one, the leader that it names, or null without an answer. */
    private String sendHeartbeatTo(String node) throws InterruptedException {
        long sent = System.nanoTime();
        long sentAgentEpoch;
        String body;
        synchronized (this) {
            advance();
            changed = false;
            sentAgentEpoch = agentEpoch;
            body = Json.encode(heartbeat());
        }
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + deployment.controllers().get(node) + "/agent/beat"))
                .timeout(CALL_TIMEOUT)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        try {
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            Map<String, Object> answer = Json.decodeObject(response.body());
            if (response.statusCode() == 200 && answer != null) {
                accept(answer, sentAgentEpoch, sent);
                return node;
            }
            return response.statusCode() == 421 && answer != null ? Fields.textOf(answer, "supervisor") : null;
        } catch (IOException e) {
            return null;
        }
    }

    private synchronized void accept(Map<String, Object> answer, long sentAgentEpoch, long sentNanos) {
        advance();
        long token = Fields.longOf(answer, "baton", 0);
        if (closed || sentAgentEpoch != agentEpoch || token < fencingToken) {
            return;
        }
        raiseFencingToken(token);
        leaseStartNanos = Math.max(leaseStartNanos, sentNanos);
        execute(Fields.listOf(answer, "orders"));
    }

    private void raiseFencingToken(long token) {
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

    /** Applies the passage of time: the expiry of the lease and the completion of tasks. */
    private void advance() {
        long now = System.nanoTime();
        if (now - leaseStartNanos > deployment.leaseMillis() * 1_000_000) {
            killAll();
            agentEpoch++;
            leaseStartNanos = now;
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
                history.ended(id, key.task(), key.attempt(), false);
            }
        });
        runs.clear();
    }

    private void exit(Key key, Run run, String cause) {
        run.status = "ended";
        run.cause = cause;
        changed = true;
        history.ended(id, key.task(), key.attempt(), cause.equals("done"));
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
        history.startReceived(id, agentEpoch, key.task(), key.attempt());
        if (known != null) {
            return;
        }
        Run run = new Run();
        boolean otherAttemptRuns = runs.entrySet().stream()
                .anyMatch(entry -> entry.getKey().task().equals(key.task()) && entry.getValue().cause == null);
        runs.put(key, run);
        changed = true;
        if (otherAttemptRuns) {
            run.status = "ended";
            run.cause = "in_use";
            return;
        }
        history.started(id, key.task(), key.attempt());
        long millis = history.wasCompleted(key.task()) ? 0 : runTimes.millisOf(History.jobOf(key.task()));
        run.endNanos = millis < 0 ? 0 : System.nanoTime() + millis * 1_000_000;
    }

    @Override
    synchronized Answer answer(String method, String path, Map<String, String> query, Map<String, Object> body) {
        advance();
        if (!path.equals("/orders")) {
            return Answer.error(404, "a worker accepts only commands");
        }
        if (closed) {
            return Answer.ok(heartbeat());
        }
        long token = Fields.longOf(body, "baton", 0);
        boolean accepted = token >= fencingToken && Fields.longOf(body, "shift", 0) == agentEpoch;
        if (accepted) {
            raiseFencingToken(token);
            execute(Fields.listOf(body, "orders"));
        }
        return new Answer(accepted ? 200 : 409, heartbeat());
    }
}
