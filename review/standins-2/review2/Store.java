package review2;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.granitepath.protocol.Json;

/** A state service with conditional transactions, leases, long polls and the limits of the settings. */
final class Store extends Server {
    private record Stored(Object value, long revision, long lease) {}

    private record Change(String key, Object value, long revision) {}

    private static final int KEPT_CHANGES = 10_000;
    private static final int PAGE_BYTES = 512 * 1024;

    private static final class Lease {
        final long lifeNanos;
        long endNanos;

        Lease(long lifeNanos) {
            this.lifeNanos = lifeNanos;
            renew();
        }

        void renew() {
            endNanos = System.nanoTime() + lifeNanos;
        }
    }

    /** Allows a rate, with a burst of one second's worth. */
    private static final class Rate {
        final double perSecond;
        double tokens;
        long refilled = System.nanoTime();

        Rate(double perSecond) {
            this.perSecond = perSecond;
            this.tokens = perSecond;
        }

        boolean take(int count) {
            long now = System.nanoTime();
            tokens = Math.min(perSecond, tokens + (now - refilled) * perSecond / 1e9);
            refilled = now;
            if (tokens < count) {
                return false;
            }
            tokens -= count;
            return true;
        }
    }

    private final Record record;
    private final TreeMap<String, Stored> keys = new TreeMap<>();
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final Rate requests;
    private final Rate writes;
    private final int valueBytes;
    private final int transactionChanges;
    private long revision;
    private long leaseCount;

    Store(Record record, double requestsPerSecond, double writesPerSecond, double valueKb, int transactionChanges) {
        this.record = record;
        this.requests = new Rate(requestsPerSecond);
        this.writes = new Rate(writesPerSecond);
        this.valueBytes = (int) (valueKb * 1024);
        this.transactionChanges = transactionChanges;
        Thread expiry = new Thread(this::expireForever, "leases");
        expiry.setDaemon(true);
        expiry.start();
        listen();
    }

    private void expireForever() {
        try {
            while (true) {
                Thread.sleep(20);
                expireLeases();
            }
        } catch (InterruptedException e) {
            // ends
        }
    }

    /** Returns a value, or null. */
    synchronized Object value(String key) {
        Stored stored = keys.get(key);
        return stored == null ? null : stored.value();
    }

    /** Returns a field of the leader's record, or null if there is no leader. */
    Object leader(String field) {
        return value("g/leader") instanceof Map<?, ?> leader ? leader.get(field) : null;
    }

    @Override
    synchronized Answer answer(String method, String path, Map<String, String> query, Map<String, Object> body) {
        if (!requests.take(1)) {
            return Answer.error(429, "too many requests");
        }
        if (path.equals("/keys")) {
            return list(query);
        } else if (path.startsWith("/keys/")) {
            return get(path.substring("/keys/".length()));
        } else if (path.equals("/commit")) {
            return commit(body);
        } else if (path.equals("/follow")) {
            return follow(query);
        } else if (path.equals("/leases")) {
            long life = ((Number) body.get("life_ms")).longValue();
            leases.put(++leaseCount, new Lease(life * 1_000_000));
            return Answer.ok(Map.of("permit", leaseCount));
        } else if (path.startsWith("/leases/")) {
            long id = Long.parseLong(path.split("/")[2]);
            if (method.equals("DELETE")) {
                leases.remove(id);
                removeKeysWithoutLease();
                return Answer.ok(Map.of());
            }
            Lease lease = leases.get(id);
            if (lease == null) {
                return Answer.error(404, "no such lease");
            }
            lease.renew();
            return Answer.ok(Map.of());
        }
        return Answer.error(400, "unknown request");
    }

    private synchronized void expireLeases() {
        long now = System.nanoTime();
        if (leases.values().removeIf(lease -> lease.endNanos - now < 0)) {
            removeKeysWithoutLease();
        }
    }

    private void removeKeysWithoutLease() {
        for (String key : List.of("g/leader")) { // the only key that is ever attached to a lease
            Stored stored = keys.get(key);
            if (stored != null && stored.lease() != 0 && !leases.containsKey(stored.lease())) {
                apply(key, null, 0, ++revision);
                record.line("store: %s removed, its lease has ended", key);
                notifyAll();
            }
        }
    }

    private void apply(String key, Object value, long lease, long at) {
        if (value == null) {
            keys.remove(key);
        } else {
            keys.put(key, new Stored(value, at, lease));
        }
        changes.add(new Change(key, value, at));
        while (changes.size() > KEPT_CHANGES) {
            changes.remove();
        }
    }

    private Answer get(String key) {
        Stored stored = keys.get(key);
        if (stored == null) {
            return new Answer(404, Map.of("epoch", revision));
        }
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("key", key);
        answer.put("v", stored.value());
        answer.put("stamp", stored.revision());
        return Answer.ok(answer);
    }

    private Answer list(Map<String, String> query) {
        String prefix = query.get("prefix");
        String from = query.getOrDefault("from", "");
        int most = Math.min(1_000, Integer.parseInt(query.getOrDefault("most", "1000")));
        List<Object> items = new ArrayList<>();
        int bytes = 0;
        boolean hasNext = false;
        for (var entry : keys.tailMap(from.compareTo(prefix) < 0 ? prefix : from, from.compareTo(prefix) < 0)
                .entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            int size = entry.getKey().length() + Json.encode(Map.of("v", entry.getValue().value())).length() + 50;
            if (items.size() >= most || bytes + size > PAGE_BYTES) {
                hasNext = true;
                break;
            }
            bytes += size;
            items.add(Map.of(
                    "key", entry.getKey(),
                    "v", entry.getValue().value(),
                    "stamp", entry.getValue().revision()));
        }
        return Answer.ok(Map.of("items", items, "has_next", hasNext, "epoch", revision));
    }

    @SuppressWarnings("unchecked")
    private Answer commit(Map<String, Object> body) {
        List<Map<String, Object>> guards = (List<Map<String, Object>>) body.getOrDefault("guards", List.of());
        List<Map<String, Object>> apply = (List<Map<String, Object>>) body.getOrDefault("apply", List.of());
        if (apply.size() > transactionChanges || guards.size() > 4 * transactionChanges) {
            return Answer.error(400, "too large");
        }
        if (!writes.take(apply.size())) {
            return Answer.error(429, "too many changes");
        }
        for (Map<String, Object> change : apply) {
            if (change.containsKey("write")
                    && Json.encode((Map<String, Object>) change.get("v")).length() > valueBytes) {
                return Answer.error(400, "value too large");
            }
            long lease = change.get("permit") instanceof Number permit ? permit.longValue() : 0;
            if (lease != 0 && !leases.containsKey(lease)) {
                return Answer.error(400, "no such lease");
            }
        }
        List<String> failed = new ArrayList<>();
        for (Map<String, Object> guard : guards) {
            Stored stored = keys.get(guard.get("key"));
            if ((stored == null ? 0 : stored.revision()) != ((Number) guard.get("stamp")).longValue()) {
                failed.add((String) guard.get("key"));
            }
        }
        if (!failed.isEmpty()) {
            return new Answer(409, Map.of("failed", failed, "epoch", revision));
        }
        if (!apply.isEmpty()) {
            revision++;
            for (Map<String, Object> change : apply) {
                if (change.containsKey("write")) {
                    long lease = change.get("permit") instanceof Number permit ? permit.longValue() : 0;
                    String key = (String) change.get("write");
                    apply(key, change.get("v"), lease, revision);
                    record.line("store: %d %s = %s", revision, key, shortened(change.get("v")));
                } else {
                    String key = (String) change.get("remove");
                    if (keys.containsKey(key)) {
                        apply(key, null, 0, revision);
                        record.line("store: %d %s removed", revision, key);
                    }
                }
            }
            notifyAll();
        }
        return Answer.ok(Map.of("epoch", revision));
    }

    private static String shortened(Object value) {
        String text = String.valueOf(value);
        return text.length() > 160 ? text.substring(0, 160) + "..." : text;
    }

    private Answer follow(Map<String, String> query) {
        String prefix = query.get("prefix");
        long from = Long.parseLong(query.get("from"));
        long end = System.nanoTime() + 1_000_000 * Long.parseLong(query.getOrDefault("wait_ms", "0"));
        while (true) {
            if (changes.size() >= KEPT_CHANGES && changes.peek().revision() > from + 1) {
                return Answer.error(410, "too old");
            }
            List<Object> events = new ArrayList<>();
            var newest = changes.descendingIterator();
            while (newest.hasNext()) {
                Change change = newest.next();
                if (change.revision() <= from) {
                    break;
                }
                if (change.key().startsWith(prefix)) {
                    Map<String, Object> event = new LinkedHashMap<>();
                    if (change.value() == null) {
                        event.put("remove", change.key());
                    } else {
                        event.put("write", change.key());
                        event.put("v", change.value());
                    }
                    event.put("stamp", change.revision());
                    events.add(event);
                }
            }
            long left = end - System.nanoTime();
            if (!events.isEmpty() || left <= 0) {
                Collections.reverse(events);
                return Answer.ok(Map.of("epoch", revision, "events", events));
            }
            try {
                wait(Math.max(1, left / 1_000_000));
            } catch (InterruptedException e) {
                return new Answer(0, null);
            }
        }
    }
}
