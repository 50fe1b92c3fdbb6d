package org.granitepath.storage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.granitepath.storage.KeyValueStore.Item;
import org.granitepath.storage.KeyValueStore.Outcome;
import org.granitepath.storage.KeyValueStore.Page;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A copy of our records, kept by following the store. Entries only move forward by revision. A read barrier is a
 * follow begun after the question arrived: whatever any controller committed before is in the replica when it ends.
 */
public final class RecordReplica {
    private static final Logger LOG = LoggerFactory.getLogger(RecordReplica.class);
    private static final long LONG_POLL_MICROS = 20_000_000;
    private static final long RETRY_MICROS = 400_000;
    private static final int PAGE = 500;
    /**
     * While barriers follow one another faster than this many spacings, they bring the changes and no long poll
     * waits.
     */
    private static final int BARRIERS_SUFFICE = 3;

    /** Whether all records have been read, so that changes alone are followed. */
    public enum Phase {
        LOADING,
        FOLLOWING
    }

    /** Told of every change of a record, in order; {@code record} null: removed. */
    public interface Listener {
        /** A record was written, or removed when {@code record} is null. */
        void changed(String key, StoredRecord record, long revision);

        /** All records have been read for the first time. */
        void loaded();
    }

    private record Entry(StoredRecord record, long revision) {}

    private final KeyValueStore store;
    private final Timers timers;
    private final long spacingMicros;
    private final Listener listener;
    private final Map<String, Entry> entries = new HashMap<>();
    private Phase phase = Phase.LOADING;
    private long storeRevision;
    private long malformedRecords;
    private boolean loadedOnce;
    private Set<String> seenInLoad;
    private long loadRevision;
    private long lastContactMicros;
    private boolean barrierRunning;
    private boolean barrierScheduled;
    private long lastBarrierMicros = Long.MIN_VALUE / 2;
    private List<Consumer<Boolean>> waiting = new ArrayList<>();

    /** @param spacingMicros least time between two reads of one kind, from this controller's share of requests */
    public RecordReplica(KeyValueStore store, Timers timers, long spacingMicros, Listener listener) {
        this.store = store;
        this.timers = timers;
        this.spacingMicros = spacingMicros;
        this.listener = listener;
        this.lastContactMicros = timers.nowMicros();
    }

    /** Begins to read all records and to follow their changes. */
    public void start() {
        load();
    }

    /** Whether all records have been read once. */
    public boolean loaded() {
        return loadedOnce;
    }

    /** When the last request was sent whose answer brought the replica up to date. */
    public long lastContactMicros() {
        return lastContactMicros;
    }

    /** Whether there is a record of this name. */
    public boolean has(String key) {
        Entry entry = entries.get(key);
        return entry != null && entry.record() != null;
    }

    /** The leader on record, or null. */
    public LeaderRecord leader() {
        return record(Keys.LEADER, LeaderRecord.class);
    }

    /** The counter of fencing tokens, or null when none was drawn yet. */
    public FencingTokenRecord fencingToken() {
        return record(Keys.FENCING_TOKEN, FencingTokenRecord.class);
    }

    /** How many parts the machine inventory has, those that can't be read included. */
    public int inventoryParts() {
        int parts = 0;
        while (has(Keys.inventory(parts))) {
            parts++;
        }
        return parts;
    }

    /** The revision up to which the records are known. */
    public long storeRevision() {
        return storeRevision;
    }

    /** How many records could not be read so far. */
    public long malformedRecords() {
        return malformedRecords;
    }

    /** A part of the machine inventory, or null when it has fewer or this one can't be read. */
    public InventoryRecord inventory(int part) {
        return record(Keys.inventory(part), InventoryRecord.class);
    }

    private <T extends StoredRecord> T record(String key, Class<T> kind) {
        Entry entry = entries.get(key);
        return entry != null && kind.isInstance(entry.record()) ? kind.cast(entry.record()) : null;
    }

    /** The revision of the last change of a record, for guards; 0 when there is no such record. */
    public long revision(String key) {
        Entry entry = entries.get(key);
        return entry == null || entry.record() == null ? 0 : entry.revision();
    }

    /** Drops a record that nobody reads or writes any more. */
    public void forget(String key) {
        entries.remove(key);
    }

    /** Records our own committed write at once, before the follow brings it. */
    public void applied(String key, StoredRecord record, long revision) {
        apply(key, record, revision);
    }

    /** Calls back with true once the replica is as new as this moment, false when that can't be had now. */
    public void barrier(Consumer<Boolean> then) {
        if (phase != Phase.FOLLOWING) {
            then.accept(false);
            return;
        }
        waiting.add(then);
        pumpBarrier();
    }

    private void transition(Phase next) {
        if (phase != next) {
            LOG.debug("replica {} -> {}", phase, next);
            phase = next;
        }
    }

    private void load() {
        transition(Phase.LOADING);
        seenInLoad = new HashSet<>();
        loadRevision = 0;
        loadPage("");
    }

    private void loadPage(String from) {
        long sent = timers.nowMicros();
        store.list(Keys.ALL, from, PAGE, page -> {
            if (page.outcome() != Outcome.OK) {
                timers.after(RETRY_MICROS, () -> loadPage(from));
                return;
            }
            if (loadRevision == 0) {
                loadRevision = page.storeRevision();
            }
            String last = from;
            for (Item item : page.items()) {
                seenInLoad.add(item.key());
                apply(item);
                last = item.key();
            }
            if (page.more()) {
                loadPage(last);
                return;
            }
            // Keys known before a reload that are no longer there were removed meanwhile.
            for (String key : new ArrayList<>(entries.keySet())) {
                Entry entry = entries.get(key);
                if (entry != null
                        && entry.record() != null
                        && !seenInLoad.contains(key)
                        && entry.revision() < loadRevision) {
                    apply(key, null, loadRevision);
                }
            }
            storeRevision = loadRevision;
            lastContactMicros = Math.max(lastContactMicros, sent);
            seenInLoad = null;
            transition(Phase.FOLLOWING);
            if (!loadedOnce) {
                loadedOnce = true;
                listener.loaded();
            }
            followOn();
        });
    }

    private void followOn() {
        if (phase != Phase.FOLLOWING) {
            return;
        }
        long sent = timers.nowMicros();
        if (sent - lastBarrierMicros < BARRIERS_SUFFICE * spacingMicros) {
            timers.after(spacingMicros, this::followOn);
            return;
        }
        store.follow(Keys.ALL, storeRevision, LONG_POLL_MICROS, page -> {
            if (phase != Phase.FOLLOWING) {
                return;
            }
            if (page.outcome() == Outcome.GONE) {
                LOG.info("the store no longer has the changes since {}: reading all records again", storeRevision);
                load();
            } else if (page.outcome() == Outcome.OK) {
                take(page, sent);
                timers.after(spacingMicros, this::followOn);
            } else {
                timers.after(RETRY_MICROS, this::followOn);
            }
        });
    }

    private void pumpBarrier() {
        if (barrierRunning || barrierScheduled || waiting.isEmpty()) {
            return;
        }
        long due = lastBarrierMicros + spacingMicros;
        long now = timers.nowMicros();
        if (due > now) {
            barrierScheduled = true;
            timers.after(due - now, () -> {
                barrierScheduled = false;
                pumpBarrier();
            });
            return;
        }
        barrierRunning = true;
        lastBarrierMicros = now;
        List<Consumer<Boolean>> served = waiting;
        waiting = new ArrayList<>();
        store.follow(Keys.ALL, storeRevision, 0, page -> {
            boolean fresh = page.outcome() == Outcome.OK && phase == Phase.FOLLOWING;
            if (fresh) {
                take(page, now);
            }
            barrierRunning = false;
            for (Consumer<Boolean> then : served) {
                then.accept(fresh);
            }
            pumpBarrier();
        });
    }

    private void take(Page page, long sentMicros) {
        for (Item item : page.items()) {
            if (item.revision() > storeRevision) {
                apply(item);
            }
        }
        storeRevision = Math.max(storeRevision, page.storeRevision());
        lastContactMicros = Math.max(lastContactMicros, sentMicros);
    }

    /** Takes in what was read. Our own writes come back this way, and are known: they are not decoded again. */
    private void apply(Item item) {
        if (isNewer(item.key(), item.revision())) {
            apply(item.key(), decode(item), item.revision());
        }
    }

    private boolean isNewer(String key, long revision) {
        Entry known = entries.get(key);
        return known == null || known.revision() < revision;
    }

    private StoredRecord decode(Item item) {
        if (item.value() == null) {
            return null;
        }
        try {
            return StoredRecordCodec.decode(item.key(), item.value());
        } catch (MalformedRecordException e) {
            malformedRecords++;
            LOG.error("{} ({} so far)", e.getMessage(), malformedRecords);
            return new UnknownRecord(item.value());
        }
    }

    private void apply(String key, StoredRecord record, long revision) {
        if (isNewer(key, revision)) {
            entries.put(key, new Entry(record, revision));
            listener.changed(key, record, revision);
        }
    }
}
