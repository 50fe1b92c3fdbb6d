package org.granitepath.loopback;

import com.google.common.base.Splitter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executor;
import org.granitepath.storage.Fields;
import org.jspecify.annotations.Nullable;

/**
 * A fake store with conditional transactions, leases that expire, and long polls. It limits neither rates nor sizes.
 */
final class FakeStore extends FakeHttpServer {
    private record Stored(Object value, long revision, long lease) {}

    /** @param value the new value, or null if the key was removed */
    private record Change(String key, @Nullable Object value, long revision) {}

    private static final class Lease {
        final long lifeNanos;
        long endNanos;

        Lease(long lifeNanos) {
            this.lifeNanos = lifeNanos;
        }

        void renew() {
            endNanos = System.nanoTime() + lifeNanos;
        }
    }

    private final TreeMap<String, Stored> keys = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long storeRevision;
    private long leaseCount;
    private boolean unavailable;

    FakeStore(Executor executor) {
        super(executor);
        listen();
    }

    /** While the store is unavailable, it refuses all requests and no lease expires. */
    synchronized void setUnavailable(boolean nowUnavailable) {
        if (unavailable && !nowUnavailable) {
            leases.values().forEach(Lease::renew);
        }
        unavailable = nowUnavailable;
        notifyAll();
    }

    @Override
    synchronized Answer answer(String method, String path, Map<String, String> query, Map<String, Object> body) {
        if (unavailable) {
            return Answer.error(503, "outage");
        }
        expireLeases();
        return switch (path) {
            case "/keys" -> list(query);
            case "/commit" -> commit(body);
            case "/follow" -> follow(query);
            case "/leases" -> grantLease(body);
            default -> path.startsWith("/leases/") ? renewLease(path) : Answer.error(400, "unknown request");
        };
    }

    private Answer grantLease(Map<String, Object> body) {
        Lease lease = new Lease(Fields.longOf(body, "life_ms", 0) * 1_000_000);
        lease.renew();
        leases.put(++leaseCount, lease);
        return Answer.ok(Map.of("permit", leaseCount));
    }

    private Answer renewLease(String path) {
        Lease lease =
                leases.get(Long.parseLong(Splitter.on('/').splitToList(path).get(2)));
        if (lease == null) {
            return Answer.error(404, "no such lease");
        }
        lease.renew();
        return Answer.ok(Map.of());
    }

    private void expireLeases() {
        long now = System.nanoTime();
        leases.values().removeIf(lease -> lease.endNanos - now < 0);
        for (String key : List.copyOf(keys.keySet())) {
            long lease = keys.get(key).lease();
            if (lease != 0 && !leases.containsKey(lease)) {
                apply(key, null, 0, ++storeRevision);
            }
        }
    }

    /** @param value the new value, or null to remove the key */
    private void apply(String key, @Nullable Object value, long lease, long revision) {
        if (value == null) {
            keys.remove(key);
        } else {
            keys.put(key, new Stored(value, revision, lease));
        }
        changes.add(new Change(key, value, revision));
        notifyAll();
    }

    private Answer list(Map<String, String> query) {
        String prefix = query.get("prefix");
        String from = query.getOrDefault("from", "");
        int most = Math.min(1_000, Integer.parseInt(query.getOrDefault("most", "1000")));
        List<Object> items = new ArrayList<>();
        boolean more = false;
        for (var entry :
                keys.tailMap(from.isEmpty() ? prefix : from, from.isEmpty()).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (items.size() == most) {
                more = true;
                break;
            }
            Stored stored = entry.getValue();
            items.add(Map.of("key", entry.getKey(), "v", stored.value(), "stamp", stored.revision()));
        }
        return Answer.ok(Map.of("items", items, "has_next", more, "epoch", storeRevision));
    }

    private Answer commit(Map<String, Object> body) {
        List<String> failed = failedPreconditions(body);
        if (!failed.isEmpty()) {
            return new Answer(409, Map.of("failed", failed, "epoch", storeRevision));
        }
        return applyAll(objectsOf(body, "apply"));
    }

    private List<String> failedPreconditions(Map<String, Object> body) {
        List<String> failed = new ArrayList<>();
        for (Map<String, Object> precondition : objectsOf(body, "guards")) {
            Stored stored = keys.get(Fields.textOf(precondition, "key"));
            if ((stored == null ? 0 : stored.revision()) != Fields.longOf(precondition, "stamp", 0)) {
                failed.add(Fields.textOf(precondition, "key"));
            }
        }
        return failed;
    }

    @SuppressWarnings("unchecked")
    private static List<Map<String, Object>> objectsOf(Map<String, Object> body, String field) {
        return (List<Map<String, Object>>) (List<?>) Fields.listOf(body, field);
    }

    private Answer applyAll(List<Map<String, Object>> transaction) {
        for (Map<String, Object> change : transaction) {
            long lease = Fields.longOf(change, "permit", 0);
            if (lease != 0 && !leases.containsKey(lease)) {
                return Answer.error(400, "no such lease");
            }
        }
        storeRevision += transaction.isEmpty() ? 0 : 1;
        for (Map<String, Object> change : transaction) {
            String written = Fields.textOf(change, "write");
            if (written != null) {
                apply(written, change.get("v"), Fields.longOf(change, "permit", 0), storeRevision);
            } else {
                apply(Fields.textOf(change, "remove"), null, 0, storeRevision);
            }
        }
        return Answer.ok(Map.of("epoch", storeRevision));
    }

    private Answer follow(Map<String, String> query) {
        String prefix = query.get("prefix");
        long from = Long.parseLong(query.get("from"));
        long end = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
        List<Object> events = eventsSince(prefix, from);
        try {
            // Leases expire without any request, so the loop waits briefly and checks them again.
            while (events.isEmpty() && !unavailable && System.nanoTime() - end < 0) {
                wait(50);
                expireLeases();
                events = eventsSince(prefix, from);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return unavailable ? Answer.error(503, "outage") : Answer.ok(Map.of("epoch", storeRevision, "events", events));
    }

    private List<Object> eventsSince(String prefix, long from) {
        List<Object> events = new ArrayList<>();
        for (Change change : changes) {
            if (change.revision() > from && change.key().startsWith(prefix)) {
                events.add(event(change));
            }
        }
        return events;
    }

    private static Map<String, Object> event(Change change) {
        return change.value() == null
                ? Map.of("remove", change.key(), "stamp", change.revision())
                : Map.of("write", change.key(), "v", change.value(), "stamp", change.revision());
    }
}
