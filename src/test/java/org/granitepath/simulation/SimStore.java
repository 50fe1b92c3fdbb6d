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
import org.granitepath.storage.StoredRecordCodec;

/** A stand-in for the store. Values pass through JSON text, as over the wire. */
final class SimStore {
    static final String NAME = "state";
    private static final long TIMEOUT = 2_000_000;
    private static final int LOG_KEPT = 400;
    private static final int PRECONDITIONS_PER_CHANGE = 4;

    private record Stored(String json, long revision, long lease) {}

    private record Logged(String key, String json, long revision) {}

    private static final class Watch {
        String prefix;
        long from;
        Consumer<KeyValueStore.Page> answer;
        boolean over;
    }

    private final World world;
    private final TreeMap<String, Stored> keys = new TreeMap<>();
    private final List<Logged> log = new ArrayList<>();
    private final Map<Long, Long> leaseEnds = new HashMap<>();
    private final Map<Long, Long> leaseLives = new HashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private final Set<String> refused = new HashSet<>();
    private final Set<String> blind = new HashSet<>();
    private final Set<String> readOnly = new HashSet<>();
    private int transactionChanges;
    private int valueBytes;
    private boolean outage;

    /** Changes of a key so far. */
    int writesOf(String key) {
        return writesByKey.getOrDefault(key, 0);
    }

    private final Map<String, Integer> writesByKey = new HashMap<>();
    private long storeRevision;
    private long leases;
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
        this.transactionChanges = transactionChanges;
        this.valueBytes = valueBytes;
        world.after(50_000, this::expire);
    }

    /** The limits change without notice; what is stored stays readable. */
    void lowerLimits(StoreLimits next) {
        transactionChanges = next.transactionChanges();
        valueBytes = next.valueBytes();
        rates.lowerWrites(next.writesPerSecond());
    }

    void outage(long forMicros) {
        setOutage(true);
        world.after(forMicros, () -> setOutage(false));
    }

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
            leaseEnds.replaceAll((id, end) -> world.now() + leaseLives.get(id));
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
        List<Long> over = leaseEnds.entrySet().stream()
                .filter(e -> e.getValue() < world.now())
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
        for (long id : over) {
            leaseEnds.remove(id);
            List<String> gone = keys.entrySet().stream()
                    .filter(e -> e.getValue().lease() == id)
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
        for (Watch w : new ArrayList<>(watches)) {
            deliver(w, false);
        }
    }

    private void deliver(Watch w, boolean evenEmpty) {
        if (w.over) {
            return;
        }
        KeyValueStore.Page page = changes(w.prefix, w.from);
        if (evenEmpty || !page.items().isEmpty()) {
            w.over = true;
            watches.remove(w);
            w.answer.accept(page);
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
        for (Logged l : log) {
            if (l.revision() > from && l.key().startsWith(prefix)) {
                items.add(
                        new KeyValueStore.Item(l.key(), l.json() == null ? null : Json.object(l.json()), l.revision()));
            }
        }
        return new KeyValueStore.Page(KeyValueStore.Outcome.OK, items, false, storeRevision);
    }

    private boolean exceedsLimits(KeyValueStore.Transaction transaction) {
        return transaction.changes().size() > transactionChanges
                || transaction.preconditions().size() > PRECONDITIONS_PER_CHANGE * transactionChanges
                || transaction.changes().stream()
                        .anyMatch(c -> c.record() != null
                                && Json.text(StoredRecordCodec.encode(c.record()))
                                                .length()
                                        > valueBytes);
    }

    /** The largest value that is stored. */
    int largestValue() {
        return keys.values().stream().mapToInt(s -> s.json().length()).max().orElse(0);
    }

    private KeyValueStore.Committed commit(KeyValueStore.Transaction transaction) {
        if (exceedsLimits(transaction)) {
            oversized++;
            return new KeyValueStore.Committed(KeyValueStore.Outcome.REJECTED, storeRevision, List.of());
        }
        if (transaction.changes().stream().anyMatch(c -> c.key().startsWith(Keys.JOB))
                && transaction.preconditions().stream().noneMatch(g -> g.key().equals(Keys.LEADER))) {
            unfenced++;
        }
        List<String> failed = new ArrayList<>();
        for (KeyValueStore.Precondition g : transaction.preconditions()) {
            Stored s = keys.get(g.key());
            if ((s == null ? 0 : s.revision()) != g.revision()) {
                failed.add(g.key());
            }
        }
        if (!failed.isEmpty()) {
            return new KeyValueStore.Committed(KeyValueStore.Outcome.CONFLICT, storeRevision, failed);
        }
        for (KeyValueStore.Change c : transaction.changes()) {
            if (c.lease() != 0 && !leaseEnds.containsKey(c.lease())) {
                return new KeyValueStore.Committed(KeyValueStore.Outcome.REFUSED, storeRevision, List.of());
            }
        }
        storeRevision++;
        writes += transaction.changes().size();
        for (KeyValueStore.Change c : transaction.changes()) {
            writesByKey.merge(c.key(), 1, Integer::sum);
            String json = c.record() == null ? null : Json.text(StoredRecordCodec.encode(c.record()));
            if (json == null) {
                keys.remove(c.key());
            } else {
                keys.put(c.key(), new Stored(json, storeRevision, c.lease()));
            }
            log.add(new Logged(c.key(), json, storeRevision));
        }
        wake();
        return new KeyValueStore.Committed(KeyValueStore.Outcome.OK, storeRevision, List.of());
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
                    c -> then.accept(c == null ? new Committed(Outcome.UNKNOWN, 0, List.of()) : c));
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
                        for (var e : keys.tailMap(from.isEmpty() ? prefix : from, from.isEmpty())
                                .entrySet()) {
                            if (!e.getKey().startsWith(prefix)) {
                                break;
                            }
                            if (items.size() == Math.min(limit, 20)) {
                                more = true;
                                break;
                            }
                            items.add(new Item(
                                    e.getKey(),
                                    Json.object(e.getValue().json()),
                                    e.getValue().revision()));
                        }
                        return new Page(Outcome.OK, items, more, storeRevision);
                    },
                    p -> then.accept(p == null ? new Page(Outcome.UNKNOWN, List.of(), false, 0) : p));
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
                        Watch w = new Watch();
                        w.prefix = prefix;
                        w.from = from;
                        w.answer = answer;
                        watches.add(w);
                        deliver(w, waitMicros == 0);
                        if (!w.over) {
                            world.after(waitMicros, () -> deliver(w, true));
                        }
                    },
                    p -> then.accept(p == null ? new Page(Outcome.UNKNOWN, List.of(), false, 0) : p));
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
                        leases++;
                        leaseLives.put(leases, lifeMicros);
                        leaseEnds.put(leases, world.now() + lifeMicros);
                        return new Leased(Outcome.OK, leases);
                    },
                    l -> then.accept(l == null ? new Leased(Outcome.UNKNOWN, 0) : l));
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
                        if (!leaseEnds.containsKey(lease)) {
                            return Outcome.NOT_FOUND;
                        }
                        leaseEnds.put(lease, world.now() + leaseLives.get(lease));
                        return Outcome.OK;
                    },
                    o -> then.accept(o == null ? Outcome.UNKNOWN : o));
        }
    }
}
