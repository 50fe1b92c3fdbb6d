package review2;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import org.granitepath.protocol.Json;

/** A worker: reports, sessions, leases, tokens and commands as in the protocol. Images are there at once. */
final class Worker extends Server {
    /** What the workers know of the jobs, as if users had uploaded it: run time in ms, negative for a service. */
    interface Descriptions {
        Long runMillis(String job);
    }

    record Timing(double reportSeconds, double leaseSeconds) {}

    private static final class Run {
        final String piece;
        final long attempt;
        final long startNanos = System.nanoTime();
        long runMillis;
        String status = "running";
        String cause;

        Run(String piece, long attempt) {
            this.piece = piece;
            this.attempt = attempt;
        }
    }

    final String id;
    final String model;
    final String site;
    private final boolean loaner;
    private final Timing timing;
    private final Map<String, String> nodes;
    private final Descriptions descriptions;
    private final Record record;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final Map<String, Run> runs = new LinkedHashMap<>();
    private final Set<String> started = new HashSet<>();
    private long shift = 1;
    private long tally;
    private long baton;
    private long leaseStart = System.nanoTime();
    private boolean changed;
    private boolean closed;
    private volatile boolean failing;
    private volatile int commandDelayMillis;
    private volatile long lastAnswer;
    private volatile String supervisor = "";
    private Thread reporter;

    Worker(
            String id,
            String model,
            String site,
            boolean loaner,
            Timing timing,
            Map<String, String> nodes,
            Descriptions descriptions,
            Record record) {
        this.id = id;
        this.model = model;
        this.site = site;
        this.loaner = loaner;
        this.timing = timing;
        this.nodes = nodes;
        this.descriptions = descriptions;
        this.record = record;
        listen();
    }

    void start() {
        reporter = new Thread(this::report, "worker " + id);
        reporter.setDaemon(true);
        reporter.start();
    }

    /** While failing, every task that the machine starts exits with {@code error}. */
    void setFailing(boolean nowFailing) {
        failing = nowFailing;
    }

    /** Sets how long the worker takes for each direct command before it executes it. */
    void setCommandDelay(int millis) {
        commandDelayMillis = millis;
    }

    /** Returns the node that last answered a report with 200. */
    String supervisor() {
        return supervisor;
    }

    /** Fails all running tasks of the jobs given, at the same moment. */
    synchronized void fail(Collection<String> pieces) {
        for (Run run : runs.values()) {
            if (pieces.contains(run.piece) && run.cause == null) {
                exit(run, "error");
            }
        }
    }

    /** Waits until the last report was answered that long ago, and the next one is not due yet. */
    void awaitQuiet(int millis) throws InterruptedException {
        long begin = lastAnswer;
        while (lastAnswer == begin) {
            Thread.sleep(5);
        }
        long answered = lastAnswer;
        Thread.sleep(millis - (System.nanoTime() - answered) / 1_000_000);
    }

    /** Ends a running task as done. */
    synchronized void finish(String piece) {
        for (Run run : runs.values()) {
            if (run.piece.equals(piece) && run.cause == null) {
                exit(run, "done");
            }
        }
    }

    synchronized boolean holds(String piece) {
        return runs.values().stream().anyMatch(run -> run.piece.equals(piece) && run.cause == null);
    }

    /** Whether the task was ever started here. */
    synchronized boolean hasStarted(String piece) {
        return started.contains(piece);
    }

    /** How many tasks were ever started here. */
    synchronized int startedTasks() {
        return started.size();
    }

    synchronized int liveTasks() {
        return (int) runs.values().stream().filter(run -> run.cause == null).count();
    }

    @Override
    public void close() {
        synchronized (this) {
            closed = true;
            killAll("the machine is gone");
            notifyAll();
        }
        if (reporter != null) {
            reporter.interrupt();
        }
        super.close();
    }

    private void report() {
        List<String> names = new ArrayList<>(nodes.keySet());
        int current = ThreadLocalRandom.current().nextInt(names.size());
        try {
            while (!closed) {
                String node = names.get(current);
                String next = reportTo(node);
                if (node.equals(next)) {
                    awaitNextReport();
                } else if (next != null && names.contains(next)) {
                    current = names.indexOf(next);
                } else {
                    current = (current + 1) % names.size();
                    Thread.sleep(1_000);
                }
            }
        } catch (InterruptedException e) {
            // closed
        }
    }

    private synchronized void awaitNextReport() throws InterruptedException {
        long now = System.nanoTime();
        long due = now + (long) (timing.reportSeconds() * 1e9 * ThreadLocalRandom.current().nextDouble(0.75, 1.25));
        long earliest = now + 500_000_000;
        while (System.nanoTime() - (changed ? Math.min(due, earliest) : due) < 0) {
            wait(20);
            advance();
        }
    }

    /** Returns the node for the next report, or null for the next one in turn. */
    private String reportTo(String node) throws InterruptedException {
        String body;
        long sentShift;
        long sent;
        synchronized (this) {
            advance();
            changed = false;
            sent = System.nanoTime();
            sentShift = shift;
            body = Json.encode(status());
        }
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + nodes.get(node) + "/agent/beat"))
                .timeout(Duration.ofSeconds(4))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        try {
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            Map<String, Object> answer = Json.decodeObject(response.body());
            if (response.statusCode() == 200 && answer != null) {
                accept(node, answer, sentShift, sent);
                return node;
            }
            Object named = answer == null ? null : answer.get("supervisor");
            return response.statusCode() == 421 && named instanceof String other && !other.equals(node) ? other : null;
        } catch (IOException e) {
            return null;
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized void accept(String node, Map<String, Object> answer, long sentShift, long sent) {
        advance();
        if (closed
                || sentShift != shift
                || !(answer.get("baton") instanceof Number token)
                || token.longValue() < baton) {
            return;
        }
        supervisor = node;
        lastAnswer = System.nanoTime();
        raise(token.longValue());
        leaseStart = Math.max(leaseStart, sent);
        execute((List<Map<String, Object>>) answer.getOrDefault("orders", List.of()), "answer of " + node, sent);
    }

    private void raise(long token) {
        if (token > baton) {
            baton = token;
            changed = true;
        }
    }

    private void execute(List<Map<String, Object>> orders, String by, long reportSent) {
        for (Map<String, Object> order : orders) {
            String piece = (String) order.get("piece");
            long attempt = ((Number) order.get("try")).longValue();
            String key = piece + "#" + attempt;
            Run run = runs.get(key);
            String sentText = reportSent == 0
                    ? ""
                    : ", to a report sent " + (System.nanoTime() - reportSent) / 1_000_000 + " ms ago";
            record.line(
                    "%s: %s %s try %d (%s under token %d%s)", id, order.get("verb"), piece, attempt, by, baton, sentText);
            switch ((String) order.get("verb")) {
                case "start" -> {
                    if (run == null) {
                        start(key, piece, attempt);
                    }
                }
                case "halt" -> {
                    if (run != null && run.cause == null) {
                        exit(run, "stopped");
                    }
                }
                case "clear" -> {
                    if (run != null && run.cause != null) {
                        runs.remove(key);
                        changed = true;
                    }
                }
                default -> {}
            }
        }
    }

    private void start(String key, String piece, long attempt) {
        Run run = new Run(piece, attempt);
        boolean other = holds(piece);
        runs.put(key, run);
        changed = true;
        Long millis = descriptions.runMillis(piece.substring(0, piece.lastIndexOf('/')));
        if (other) {
            exit(run, "in_use");
        } else if (millis == null) {
            exit(run, "no_such");
        } else if (failing) {
            started.add(piece);
            record.line("%s: task %s try %d starts", id, piece, attempt);
            exit(run, "error");
        } else {
            run.runMillis = millis;
            started.add(piece);
            record.line("%s: task %s try %d starts", id, piece, attempt);
        }
    }

    private void exit(Run run, String cause) {
        run.status = "ended";
        run.cause = cause;
        changed = true;
        record.line("%s: task %s try %d ended: %s", id, run.piece, run.attempt, cause);
    }

    private void advance() {
        long now = System.nanoTime();
        if (now - leaseStart > timing.leaseSeconds() * 1e9) {
            killAll("the lease is over");
            shift++;
            leaseStart = now;
            changed = true;
        }
        for (Run run : runs.values()) {
            if (run.cause == null && run.runMillis >= 0 && now - run.startNanos > run.runMillis * 1_000_000) {
                exit(run, "done");
            }
        }
    }

    private void killAll(String why) {
        for (Run run : runs.values()) {
            if (run.cause == null) {
                record.line("%s: task %s try %d killed: %s", id, run.piece, run.attempt, why);
            }
        }
        runs.clear();
    }

    private Map<String, Object> status() {
        List<Object> pieces = new ArrayList<>();
        for (Run run : runs.values()) {
            Map<String, Object> piece = new LinkedHashMap<>();
            piece.put("piece", run.piece);
            piece.put("try", run.attempt);
            piece.put("status", run.status);
            if (run.cause != null) {
                piece.put("cause", run.cause);
            }
            pieces.add(piece);
        }
        Map<String, Object> status = new LinkedHashMap<>();
        status.put("host", id);
        status.put("address", address());
        status.put("model", model);
        status.put("site", site);
        status.put("loaner", loaner);
        status.put("shift", shift);
        status.put("tally", ++tally);
        status.put("baton", baton);
        status.put("pieces", pieces);
        return status;
    }

    @Override
    Answer answer(String method, String path, Map<String, String> query, Map<String, Object> body) {
        try {
            Thread.sleep(commandDelayMillis);
            return answerNow(path, body);
        } catch (InterruptedException e) {
            return new Answer(0, null);
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized Answer answerNow(String path, Map<String, Object> body) {
        advance();
        if (closed) {
            return new Answer(0, null);
        }
        if (path.equals("/show")) {
            return Answer.ok(status());
        }
        if (!(body.get("baton") instanceof Number token) || !(body.get("shift") instanceof Number session)) {
            return Answer.error(400, "baton or shift is missing");
        }
        if (token.longValue() < baton || session.longValue() != shift) {
            return new Answer(409, status());
        }
        raise(token.longValue());
        execute((List<Map<String, Object>>) body.getOrDefault("orders", List.of()), "direct command", 0);
        notifyAll();
        return Answer.ok(status());
    }
}
