import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The state service, as the page PROTOCOL describes it: conditional transactions, leases, lists, watches, the limits of
 * rates and sizes, and the last 10,000 changes.
 */
final class Store {
    private record Stored(String json, long stamp, long permit) {}

    private record Change(String key, String json, long stamp) {}

    private static final int KEPT_CHANGES = 10_000;
    private final TreeMap<String, Stored> keys = new TreeMap<>();
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    /** Each lease: its life and its end, in nanoseconds. */
    private final Map<Long, long[]> leases = new HashMap<>();

    private final double rps;
    private final double writeRps;
    private final int valueBytes;
    private final int txnOps;
    private double requestTokens;
    private double writeTokens;
    private long refilled = System.nanoTime();
    private long epoch;
    private long forgotten;
    private long lastPermit;
    private boolean outage;
    String address;

    Store(double rps, double writeRps, int valueKb, int txnOps) throws IOException {
        this.rps = rps;
        this.writeRps = writeRps;
        this.valueBytes = valueKb * 1024;
        this.txnOps = txnOps;
        this.requestTokens = rps;
        this.writeTokens = writeRps;
        this.address = Web.serve(this::answer);
        Thread thread = new Thread(() -> {
            while (true) {
                expire();
                try {
                    Thread.sleep(20);
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Puts keys, each with its JSON, as controllers would have written them in time that the case leaves out. */
    synchronized void lapse(List<String[]> keysAndJson) {
        for (String[] keyAndJson : keysAndJson) {
            epoch++;
            put(keyAndJson[0], keyAndJson[1], 0);
        }
    }

    /** During an outage every request gets 503, open watches stay open, and leases have their full time afterwards. */
    synchronized void setOutage(boolean now) {
        outage = now;
        if (!now) {
            leases.values().forEach(lease -> lease[1] = System.nanoTime() + lease[0]);
            notifyAll();
        }
    }

    synchronized int size() {
        return keys.size();
    }

    /** Whether a key exists. */
    synchronized boolean has(String key) {
        return keys.containsKey(key);
    }

    /** The stored JSON of a key, or null. */
    synchronized String value(String key) {
        Stored stored = keys.get(key);
        return stored == null ? null : stored.json();
    }

    private synchronized void expire() {
        if (outage) {
            return;
        }
        long now = System.nanoTime();
        leases.values().removeIf(lease -> lease[1] - now < 0);
        List<String> ended = new ArrayList<>();
        keys.forEach((key, stored) -> {
            if (stored.permit() != 0 && !leases.containsKey(stored.permit())) {
                ended.add(key);
            }
        });
        for (String key : ended) {
            epoch++;
            put(key, null, 0);
        }
    }

    private void put(String key, String json, long permit) {
        if (json == null) {
            keys.remove(key);
        } else {
            keys.put(key, new Stored(json, epoch, permit));
        }
        changes.add(new Change(key, json, epoch));
        if (changes.size() > KEPT_CHANGES) {
            forgotten = changes.poll().stamp();
        }
        notifyAll();
    }

    private boolean takeRequest() {
        long now = System.nanoTime();
        double seconds = (now - refilled) / 1e9;
        refilled = now;
        requestTokens = Math.min(rps, requestTokens + seconds * rps);
        writeTokens = Math.min(writeRps, writeTokens + seconds * writeRps);
        if (requestTokens < 1) {
            return false;
        }
        requestTokens--;
        return true;
    }

    private synchronized Web.Answer answer(Web.Request request) throws Exception {
        if (!takeRequest()) {
            return Web.Answer.error(429, "requests");
        }
        if (outage) {
            return Web.Answer.error(503, "outage");
        }
        String path = request.path();
        if (path.equals("/commit")) {
            return commit(Json.object(request.body()));
        }
        if (path.equals("/keys")) {
            return list(request.query());
        }
        if (path.startsWith("/keys/")) {
            String key = path.substring("/keys/".length());
            Stored stored = keys.get(key);
            return stored == null
                    ? new Web.Answer(404, "{\"epoch\":" + epoch + "}")
                    : new Web.Answer(200, Json.write(item(key, stored)));
        }
        if (path.equals("/follow")) {
            return follow(request.query());
        }
        if (path.equals("/leases")) {
            long life = Json.number(Json.object(request.body()), "life_ms", 0) * 1_000_000;
            leases.put(++lastPermit, new long[] {life, System.nanoTime() + life});
            return Web.Answer.ok(Map.of("permit", lastPermit));
        }
        if (path.startsWith("/leases/")) {
            String[] parts = path.split("/");
            long permit = Long.parseLong(parts[2]);
            long[] lease = leases.get(permit);
            if (request.method().equals("DELETE")) {
                leases.remove(permit);
                return Web.Answer.ok(Map.of());
            }
            if (lease == null) {
                return Web.Answer.error(404, "no such lease");
            }
            lease[1] = System.nanoTime() + lease[0];
            return Web.Answer.ok(Map.of());
        }
        return Web.Answer.error(400, "unknown request");
    }

    private static Map<String, Object> item(String key, Stored stored) {
        Map<String, Object> item = new LinkedHashMap<>();
        item.put("key", key);
        item.put("v", new Json.Raw(stored.json()));
        item.put("stamp", stored.stamp());
        if (stored.permit() != 0) {
            item.put("permit", stored.permit());
        }
        return item;
    }

    private Web.Answer commit(Map<String, Object> body) {
        List<Map<String, Object>> apply = Json.objects(body, "apply");
        List<Map<String, Object>> guards = Json.objects(body, "guards");
        if (apply.size() > txnOps || guards.size() > 4 * txnOps) {
            return Web.Answer.error(400, "too large");
        }
        if (apply.size() > writeTokens) {
            return Web.Answer.error(429, "changes");
        }
        writeTokens -= apply.size();
        List<String> failed = new ArrayList<>();
        for (Map<String, Object> guard : guards) {
            Stored stored = keys.get((String) guard.get("key"));
            if ((stored == null ? 0 : stored.stamp()) != Json.number(guard, "stamp", 0)) {
                failed.add((String) guard.get("key"));
            }
        }
        if (!failed.isEmpty()) {
            return new Web.Answer(409, Json.write(Map.of("failed", failed, "epoch", epoch)));
        }
        for (Map<String, Object> change : apply) {
            long permit = Json.number(change, "permit", 0);
            if (permit != 0 && !leases.containsKey(permit)) {
                return Web.Answer.error(400, "no such lease");
            }
            if (change.containsKey("write") && Json.write(change.get("v")).length() > valueBytes) {
                return Web.Answer.error(400, "value too large");
            }
        }
        if (!apply.isEmpty()) {
            epoch++;
        }
        for (Map<String, Object> change : apply) {
            if (change.containsKey("write")) {
                put((String) change.get("write"), Json.write(change.get("v")), Json.number(change, "permit", 0));
            } else {
                put((String) change.get("remove"), null, 0);
            }
        }
        return Web.Answer.ok(Map.of("epoch", epoch));
    }

    private Web.Answer list(Map<String, String> query) {
        String prefix = query.getOrDefault("prefix", "");
        String from = query.getOrDefault("from", "");
        int most = Math.min(1000, Integer.parseInt(query.getOrDefault("most", "1000")));
        StringBuilder items = new StringBuilder();
        int count = 0;
        boolean more = false;
        for (Map.Entry<String, Stored> entry :
                keys.tailMap(from.isEmpty() ? prefix : from, from.isEmpty()).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (count == most || items.length() > 500_000) {
                more = true;
                break;
            }
            items.append(count == 0 ? "" : ",").append(Json.write(item(entry.getKey(), entry.getValue())));
            count++;
        }
        return new Web.Answer(200, "{\"items\":[" + items + "],\"has_next\":" + more + ",\"epoch\":" + epoch + "}");
    }

    private Web.Answer follow(Map<String, String> query) throws InterruptedException {
        String prefix = query.getOrDefault("prefix", "");
        long from = Long.parseLong(query.get("from"));
        long end = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
        while (true) {
            if (from < forgotten) {
                return Web.Answer.error(410, "too old");
            }
            List<Object> events = new ArrayList<>();
            if (!changes.isEmpty() && changes.peekLast().stamp() > from) {
                for (Change change : changes) {
                    if (change.stamp() > from && change.key().startsWith(prefix)) {
                        Map<String, Object> event = new LinkedHashMap<>();
                        event.put(change.json() == null ? "remove" : "write", change.key());
                        if (change.json() != null) {
                            event.put("v", new Json.Raw(change.json()));
                        }
                        event.put("stamp", change.stamp());
                        events.add(event);
                    }
                }
            }
            long left = end - System.nanoTime();
            if (outage) {
                wait();
                continue;
            }
            if (!events.isEmpty() || left <= 0) {
                return Web.Answer.ok(Map.of("epoch", epoch, "events", events));
            }
            wait(Math.max(1, left / 1_000_000));
        }
    }
}
