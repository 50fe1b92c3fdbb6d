package org.granitepath.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.granitepath.coordination.config.StoreLimits;
import org.granitepath.protocol.Json;
import org.granitepath.storage.KeyValueStore;
import org.granitepath.storage.Keys;

/** A stand-in for the store. Values pass through JSON text, as over the wire. */
final class SimStore {
    static final String NAME = "state";
    private static final long TIMEOUT = 2_000_000;
    private static final int LOG_KEPT = 400;

    private record Stored(String json, long revision, long lease) {}

    private record Logged(String key, String json, long revision) {}

    private static final class Watch {
        final String prefix;
        final long from;
        final Consumer<KeyValueStore.Page> answer;
        boolean over;

        Watch(String prefix, long from, Consumer<KeyValueStore.Page> answer) {
            this.prefix = prefix;
            this.from = from;
            this.answer = answer;
        }
    }

    private final World world;
    private final TreeMap<String, Stored> keys = new TreeMap<>();
    private final List<Logged> log = new ArrayList<>();
    private final SimLeases leases = new SimLeases();
    private final List<Watch> watches = new ArrayList<>();
    private final Set<String> refused = new HashSet<>();
    private final Set<String> blind = new HashSet<>();
    private final Set<String> readOnly = new HashSet<>();
    private TransactionLimits limits;
    private boolean outage;

    /** Changes of a key so far. */
    int writesOf(String key) {
        return writesByKey.getOrDefault(key, 0);
    }

    private final Map<String, Integer> writesByKey = new HashMap<>();
    private long storeRevision;
    /** Share of transactions that get no answer and are carried out seconds later, after newer ones. */
    double lateWrites;
    /** Transactions that changed something although they were carried out late. */
    int lateSuccesses;

    int oversized;
    /** Acceptances that would hold whoever the leader is by then. */
    int unfenced;
    /** Requests to read, long polls included. */
    int reads;

    /** All requests, and those refused because they came too fast. */
    int requests;

    int refusals;
    /** Changes made so far. */
    int writes;

    private final SimRates rates;

    SimStore(World world, int transactionChanges, int valueBytes, double requestsPerSecond, double writesPerSecond) {
        this.world = world;
        this.rates = new SimRates(requestsPerSecond, writesPerSecond);
        this.limits = new TransactionLimits(transactionChanges, valueBytes);
        world.after(50_000, this::expire);
    }

    /** The limits change without notice; what is stored stays readable. */
    void lowerLimits(StoreLimits next) {
        limits = new TransactionLimits(next.transactionChanges(), next.valueBytes());
        rates.lowerWrites(next.writesPerSecond());
    }

    /** Nobody is served, and no lease ends meanwhile. */
    void outage(long forMicros) {
        setOutage(true);
        world.after(forMicros, () -> setOutage(false));
    }

    /** This node alone is not served. */
    void refuse(String node, long forMicros) {
        refuse(node, true);
        world.after(forMicros, () -> refuse(node, false));
    }

    /** This node's transactions are refused, while all else of it is served. */
    void refuseWritesOf(String node, long forMicros) {
        readOnly.add(node);
        world.after(forMicros, () -> readOnly.remove(node));
    }

    /** Someone else writes this value. */
    void plant(String key, String json) {
        storeRevision++;
        keys.put(key, new Stored(json, storeRevision, 0));
        log.add(new Logged(key, json, storeRevision));
        wake();
    }

    /** Whether the value is still the one that was planted. */
    boolean holds(String key, String json) {
        return keys.containsKey(key) && keys.get(key).json().equals(json);
    }

    /** This node's reads get no answer, while all else does. */
    void blindFor(String node, long forMicros) {
        blind.add(node);
        world.after(forMicros, () -> blind.remove(node));
    }

    private void setOutage(boolean now) {
        if (outage && !now) {
            leases.renewAll(world.now());
        }
        outage = now;
        wake();
    }

    private void refuse(String node, boolean now) {
        if (now) {
            refused.add(node);
        } else {
            refused.remove(node);
        }
        wake();
    }

    /** Whether this request is not carried out: the service is away, or asked for too much. */
    private boolean away(String node, int changes) {
        requests++;
        boolean tooFast = !rates.admits(world.now(), changes);
        refusals += tooFast ? 1 : 0;
        return tooFast || outage || refused.contains(node);
    }

    private void expire() {
        world.after(50_000, this::expire);
        if (outage) {
            return;
        }
        for (long lease : leases.removeOver(world.now())) {
            List<String> gone = keys.entrySet().stream()
                    .filter(entry -> entry.getValue().lease() == lease)
                    .map(Map.Entry::getKey)
                    .toList();
            for (String key : gone) {
                storeRevision++;
                keys.remove(key);
                log.add(new Logged(key, null, storeRevision));
            }
        }
        wake();
    }

    private void wake() {
        for (Watch watch : new ArrayList<>(watches)) {
            deliver(watch, false);
        }
    }

    private void deliver(Watch watch, boolean evenEmpty) {
        if (watch.over) {
            return;
        }
        KeyValueStore.Page page = changes(watch.prefix, watch.from);
        if (evenEmpty || !page.items().isEmpty()) {
            watch.over = true;
            watches.remove(watch);
            watch.answer.accept(page);
        }
    }

    private KeyValueStore.Page changes(String prefix, long from) {
        if (log.size() > LOG_KEPT) {
            log.subList(0, log.size() - LOG_KEPT).clear();
        }
        if (from < storeRevision && !log.isEmpty() && log.get(0).revision() > from + 1) {
            return new KeyValueStore.Page(KeyValueStore.Outcome.GONE, List.of(), false, storeRevision);
        }
        List<KeyValueStore.Item> items = new ArrayList<>();
        for (Logged logged : log) {
            if (logged.revision() > from && logged.key().startsWith(prefix)) {
                items.add(new KeyValueStore.Item(
                        logged.key(), logged.json() == null ? null : Json.object(logged.json()), logged.revision()));
            }
        }
        return new KeyValueStore.Page(KeyValueStore.Outcome.OK, items, false, storeRevision);
    }

    /** The largest value that is stored. */
    int largestValue() {
        return keys.values().stream()
                .mapToInt(stored -> stored.json().length())
                .max()
                .orElse(0);
    }

    private KeyValueStore.Committed commit(KeyValueStore.Transaction transaction) {
        if (limits.exceededBy(transaction)) {
            oversized++;
            return committed(KeyValueStore.Outcome.REJECTED, List.of());
        }
        if (transaction.changes().stream().anyMatch(change -> change.key().startsWith(Keys.JOB))
                && transaction.preconditions().stream()
                        .noneMatch(precondition -> precondition.key().equals(Keys.LEADER))) {
            unfenced++;
        }
        List<String> failed = transaction.preconditions().stream()
                .filter(precondition -> revisionOf(precondition.key()) != precondition.revision())
                .map(KeyValueStore.Precondition::key)
                .toList();
        if (!failed.isEmpty()) {
            return committed(KeyValueStore.Outcome.CONFLICT, failed);
        }
        if (transaction.changes().stream().anyMatch(change -> change.lease() != 0 && !leases.holds(change.lease()))) {
            return committed(KeyValueStore.Outcome.REFUSED, List.of());
        }
        storeRevision++;
        writes += transaction.changes().size();
        transaction.changes().forEach(this::apply);
        wake();
        return committed(KeyValueStore.Outcome.OK, List.of());
    }

    private long revisionOf(String key) {
        return keys.containsKey(key) ? keys.get(key).revision() : 0;
    }

    private void apply(KeyValueStore.Change change) {
        writesByKey.merge(change.key(), 1, Integer::sum);
        String json = change.record() == null ? null : TransactionLimits.json(change);
        if (json == null) {
            keys.remove(change.key());
        } else {
            keys.put(change.key(), new Stored(json, storeRevision, change.lease()));
        }
        log.add(new Logged(change.key(), json, storeRevision));
    }

    private KeyValueStore.Committed committed(KeyValueStore.Outcome outcome, List<String> failed) {
        return new KeyValueStore.Committed(outcome, storeRevision, failed);
    }

    /** The service as one node reaches it. */
    KeyValueStore portFor(String node) {
        return new Port(node);
    }

    private final class Port implements KeyValueStore {
        private final String node;

        Port(String node) {
            this.node = node;
        }

        @Override
        public void commit(Transaction transaction, Consumer<Committed> then) {
            world.<Committed>callLater(
                    node,
                    NAME,
                    TIMEOUT,
                    answer -> {
                        if (away(node, transaction.changes().size()) || readOnly.contains(node)) {
                            answer.accept(new Committed(Outcome.REFUSED, 0, List.of()));
                        } else if (lateWrites > 0 && world.random.nextDouble() < lateWrites) {
                            world.after(
                                    2_000_000 + world.random.nextInt(10_000_000),
                                    () -> lateSuccesses += !outage
                                                    && SimStore.this
                                                                    .commit(transaction)
                                                                    .outcome()
                                                            == Outcome.OK
                                            ? 1
                                            : 0);
                        } else {
                            answer.accept(SimStore.this.commit(transaction));
                        }
                    },
                    answer -> then.accept(answer == null ? new Committed(Outcome.UNKNOWN, 0, List.of()) : answer));
        }

        @Override
        public void list(String prefix, String from, int limit, Consumer<Page> then) {
            world.call(
                    node,
                    NAME,
                    TIMEOUT,
                    () -> {
                        if (away(node, 0)) {
                            return new Page(Outcome.REFUSED, List.of(), false, 0);
                        }
                        List<Item> items = new ArrayList<>();
                        boolean more = false;
                        for (var entry : keys.tailMap(from.isEmpty() ? prefix : from, from.isEmpty())
                                .entrySet()) {
                            if (!entry.getKey().startsWith(prefix)) {
                                break;
                            }
                            if (items.size() == Math.min(limit, 20)) {
                                more = true;
                                break;
                            }
                            items.add(new Item(
                                    entry.getKey(),
                                    Json.object(entry.getValue().json()),
                                    entry.getValue().revision()));
                        }
                        return new Page(Outcome.OK, items, more, storeRevision);
                    },
                    answer -> then.accept(answer == null ? new Page(Outcome.UNKNOWN, List.of(), false, 0) : answer));
        }

        @Override
        public void follow(String prefix, long from, long waitMicros, Consumer<Page> then) {
            reads++;
            world.<Page>callLater(
                    node,
                    NAME,
                    TIMEOUT + waitMicros,
                    answer -> {
                        if (blind.contains(node)) {
                            return;
                        }
                        if (away(node, 0)) {
                            answer.accept(new Page(Outcome.REFUSED, List.of(), false, 0));
                            return;
                        }
                        Watch watch = new Watch(prefix, from, answer);
                        watches.add(watch);
                        deliver(watch, waitMicros == 0);
                        if (!watch.over) {
                            world.after(waitMicros, () -> deliver(watch, true));
                        }
                    },
                    answer -> then.accept(answer == null ? new Page(Outcome.UNKNOWN, List.of(), false, 0) : answer));
        }

        @Override
        public void openLease(long lifeMicros, Consumer<Leased> then) {
            world.call(
                    node,
                    NAME,
                    TIMEOUT,
                    () -> {
                        if (away(node, 0)) {
                            return new Leased(Outcome.REFUSED, 0);
                        }
                        return new Leased(Outcome.OK, leases.open(world.now(), lifeMicros));
                    },
                    answer -> then.accept(answer == null ? new Leased(Outcome.UNKNOWN, 0) : answer));
        }

        @Override
        public void renewLease(long lease, Consumer<Outcome> then) {
            world.call(
                    node,
                    NAME,
                    TIMEOUT / 2,
                    () -> {
                        if (away(node, 0)) {
                            return Outcome.REFUSED;
                        }
                        if (!leases.holds(lease)) {
                            return Outcome.NOT_FOUND;
                        }
                        leases.renew(lease, world.now());
                        return Outcome.OK;
                    },
                    answer -> then.accept(answer == null ? Outcome.UNKNOWN : answer));
        }
    }
}
