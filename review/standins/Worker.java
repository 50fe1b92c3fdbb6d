import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

/**
 * The worker of one machine, as the page PROTOCOL describes it: reports, sessions, leases, tokens, commands. Images are
 * there at once; a task runs for the time that its job has. An answer with a line longer than 64 KiB, which the page
 * rules out, counts as no valid answer, and a request body over 64 KiB is refused.
 */
final class Worker {
    static final int LIMIT = 64 * 1024;

    /** Receives what happens on the machine. */
    interface Events {
        void started(Worker worker, String piece, long attempt);

        void ended(Worker worker, String piece, long attempt, String how);

        default void tooLong(Worker worker, String what, int bytes) {}
    }

    record Key(String piece, long attempt) {}

    static final class Run {
        String status = "running";
        String cause;
        String endCause = "done";
        long endNanos = Long.MAX_VALUE;
    }

    final Cloud.Machine machine;
    final String address;
    private final Map<String, String> nodes;
    private final List<String> names;
    private final long reportMillis;
    private final long leaseMillis;
    private final ToLongFunction<String> runMillis;
    private final Predicate<String> fails;
    private final Events events;
    private final Map<Key, Run> runs = new LinkedHashMap<>();
    private long shift = 1;
    private long tally;
    private long baton;
    private long leaseStart = System.nanoTime();
    private boolean changed;
    private boolean gone;

    /**
     * @param nodes the addresses of all controllers by name
     * @param runMillis how long a task runs, by its name; negative: until it is stopped
     * @param fails whether a task that starts now fails, by its name
     */
    Worker(
            Cloud.Machine machine,
            Map<String, String> nodes,
            long reportMillis,
            long leaseMillis,
            ToLongFunction<String> runMillis,
            Predicate<String> fails,
            Events events)
            throws IOException {
        this.machine = machine;
        this.nodes = nodes;
        this.names = List.copyOf(nodes.keySet());
        this.reportMillis = reportMillis;
        this.leaseMillis = leaseMillis;
        this.runMillis = runMillis;
        this.fails = fails;
        this.events = events;
        this.address = Web.serve(this::answer);
        Thread thread = new Thread(this::reportLoop, "worker " + machine.id());
        thread.setDaemon(true);
        thread.start();
    }

    synchronized void gone() {
        gone = true;
        killAll("the machine is gone");
    }

    /** The tasks on the machine that have not ended. */
    synchronized List<Key> live() {
        advance();
        List<Key> live = new ArrayList<>();
        runs.forEach((key, run) -> {
            if (run.cause == null) {
                live.add(key);
            }
        });
        return live;
    }

    private void reportLoop() {
        int at = Math.floorMod(machine.id().hashCode(), names.size());
        try {
            while (true) {
                String leader = report(names.get(at));
                synchronized (this) {
                    if (gone) {
                        return;
                    }
                }
                if (names.get(at).equals(leader)) {
                    pause();
                } else if (leader != null && names.contains(leader)) {
                    at = names.indexOf(leader);
                } else {
                    at = (at + 1) % names.size();
                    Thread.sleep(1000);
                }
            }
        } catch (InterruptedException e) {
            // The process ends.
        }
    }

    private synchronized void pause() throws InterruptedException {
        long now = System.nanoTime();
        long early = now + 500_000_000L;
        long due = now + reportMillis * 1_000_000;
        while (!gone && System.nanoTime() < (changed ? early : due)) {
            wait(20);
            advance();
        }
    }

    private String report(String node) throws InterruptedException {
        long sent;
        long session;
        String body;
        synchronized (this) {
            advance();
            changed = false;
            session = shift;
            body = Json.write(report());
            sent = System.nanoTime();
        }
        if (body.length() > LIMIT) {
            events.tooLong(this, "report", body.length());
        }
        Web.Answer answer = Web.call("POST", nodes.get(node), "/agent/beat", body, 4000);
        if (answer.status() == 200) {
            int longest = longestLine(answer.body());
            if (longest > LIMIT) {
                events.tooLong(this, "answer to a report", longest);
                return null;
            }
            accept(answer.json(), session, sent);
            return node;
        }
        return answer.status() == 421 && answer.json().get("supervisor") instanceof String name ? name : null;
    }

    static int longestLine(String text) {
        int longest = 0;
        for (String line : text.split("\n", -1)) {
            longest = Math.max(longest, line.getBytes(StandardCharsets.UTF_8).length);
        }
        return longest;
    }

    private synchronized void accept(Map<String, Object> answer, long session, long sent) {
        advance();
        long token = Json.number(answer, "baton", 0);
        if (gone || session != shift || token < baton || !answer.containsKey("baton")) {
            return;
        }
        raise(token);
        leaseStart = Math.max(leaseStart, sent);
        execute(Json.objects(answer, "orders"));
    }

    private void raise(long token) {
        changed |= token > baton;
        baton = token;
    }

    private Map<String, Object> report() {
        List<Object> pieces = new ArrayList<>();
        runs.forEach((key, run) -> {
            Map<String, Object> piece = new LinkedHashMap<>();
            piece.put("piece", key.piece());
            piece.put("try", key.attempt());
            piece.put("status", run.status);
            if (run.cause != null) {
                piece.put("cause", run.cause);
            }
            pieces.add(piece);
        });
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("host", machine.id());
        report.put("address", address);
        report.put("model", machine.model());
        report.put("site", machine.site());
        report.put("loaner", machine.loaner());
        report.put("shift", shift);
        report.put("tally", ++tally);
        report.put("baton", baton);
        report.put("warning_s", null);
        report.put("pieces", pieces);
        return report;
    }

    private void advance() {
        long now = System.nanoTime();
        if (now - leaseStart > leaseMillis * 1_000_000) {
            killAll("the lease ran out");
            shift++;
            leaseStart = now;
            changed = true;
        }
        runs.forEach((key, run) -> {
            if (run.cause == null && now > run.endNanos) {
                exit(key, run, run.endCause);
            }
        });
    }

    private void killAll(String why) {
        runs.forEach((key, run) -> {
            if (run.cause == null) {
                events.ended(this, key.piece(), key.attempt(), why);
            }
        });
        runs.clear();
    }

    private void exit(Key key, Run run, String cause) {
        run.status = "ended";
        run.cause = cause;
        changed = true;
        events.ended(this, key.piece(), key.attempt(), cause);
    }

    private void execute(List<Map<String, Object>> orders) {
        for (Map<String, Object> order : orders) {
            Key key = new Key((String) order.get("piece"), Json.number(order, "try", 0));
            Run run = runs.get(key);
            switch ((String) order.get("verb")) {
                case "start" -> {
                    if (run == null) {
                        start(key);
                    }
                }
                case "halt" -> {
                    if (run != null && run.cause == null) {
                        exit(key, run, "stopped");
                    }
                }
                case "clear" -> {
                    if (run != null && run.cause != null) {
                        runs.remove(key);
                    }
                }
                default -> {}
            }
        }
    }

    private void start(Key key) {
        Run run = new Run();
        boolean inUse = runs.entrySet().stream()
                .anyMatch(entry -> entry.getKey().piece().equals(key.piece()) && entry.getValue().cause == null);
        runs.put(key, run);
        changed = true;
        if (inUse) {
            run.status = "ended";
            run.cause = "in_use";
            return;
        }
        events.started(this, key.piece(), key.attempt());
        if (fails.test(key.piece())) {
            run.endCause = "error";
            run.endNanos = System.nanoTime() + 500_000_000L;
            return;
        }
        long millis = runMillis.applyAsLong(key.piece());
        if (millis >= 0) {
            run.endNanos = System.nanoTime() + millis * 1_000_000;
        }
    }

    private synchronized Web.Answer answer(Web.Request request) {
        advance();
        if (request.path().equals("/show")) {
            return Web.Answer.ok(report());
        }
        if (!request.path().equals("/orders")) {
            return Web.Answer.error(404, "no such path");
        }
        if (request.body().length() > LIMIT) {
            events.tooLong(this, "body of /orders", request.body().length());
            return Web.Answer.error(400, "the body is over 64 KiB");
        }
        Map<String, Object> body = Json.object(request.body());
        if (!body.containsKey("baton") || !body.containsKey("shift")) {
            return Web.Answer.error(400, "baton or shift is missing");
        }
        boolean valid = Json.number(body, "baton", 0) >= baton && Json.number(body, "shift", 0) == shift;
        if (valid && !gone) {
            raise(Json.number(body, "baton", 0));
            execute(Json.objects(body, "orders"));
        }
        return new Web.Answer(valid ? 200 : 409, Json.write(report()));
    }
}
