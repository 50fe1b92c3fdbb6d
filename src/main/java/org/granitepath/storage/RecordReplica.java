package org.granitepath.storage;

import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * A copy of our records, kept by following the store: all are read once by {@link RecordLoader}, then their changes by
 * {@link RecordFollower}, and on request by {@link ReadBarrier}.
 */
public final class RecordReplica {

    /** Told of every change of a record, in order; {@code record} null: removed. */
    public interface Listener {
        /** A record was written, or removed when {@code record} is null. */
        void onRecordChanged(String key, @Nullable StoredRecord record, long revision);

        /** All records have been read for the first time. */
        void onLoaded();
    }

    private final Listener listener;
    private final ReplicaRecords records;
    private final ReplicaPosition position;
    private final ReadBarrier requestBarrier;
    private final RecordFollower follower;
    private final RecordLoader loader;
    private boolean loadedOnce;

    /** @param spacingMicros least time between two reads of one kind, from this controller's share of requests */
    public RecordReplica(KeyValueStore store, Timers timers, long spacingMicros, Listener listener) {
        this.listener = listener;
        this.records = new ReplicaRecords(listener);
        this.position = new ReplicaPosition(records, timers.nowMicros());
        this.requestBarrier = new ReadBarrier(store, timers, spacingMicros, position);
        this.follower = new RecordFollower(store, timers, spacingMicros, position, requestBarrier, this::load);
        this.loader = new RecordLoader(store, timers, records, this::loadCompleted);
    }

    /** Begins to read all records and to follow their changes. */
    public void start() {
        load();
    }

    /** Whether all records have been read once. */
    public boolean isLoaded() {
        return loadedOnce;
    }

    /** When the last request was sent whose answer brought the replica up to date. */
    public long lastContactMicros() {
        return position.lastContactMicros();
    }

    /** The revision up to which the records are known. */
    public long storeRevision() {
        return position.storeRevision();
    }

    /** How many records could not be read so far. */
    public long malformedRecordCount() {
        return records.malformed();
    }

    /** Whether there is a record of this name. */
    public boolean has(String key) {
        return records.has(key);
    }

    /** The leader on record, or null. */
    public @Nullable LeaderRecord leader() {
        return records.record(Keys.LEADER, LeaderRecord.class);
    }

    /** The counter of fencing tokens, or null when none was drawn yet. */
    public @Nullable FencingTokenRecord fencingToken() {
        return records.record(Keys.FENCING_TOKEN, FencingTokenRecord.class);
    }

    /** How many parts the machine inventory has, those that can't be read included. */
    public int inventoryPartCount() {
        int parts = 0;
        while (has(Keys.inventoryPart(parts))) {
            parts++;
        }
        return parts;
    }

    /** A part of the machine inventory, or null when it has fewer or this one can't be read. */
    public @Nullable InventoryRecord inventoryPart(int part) {
        return records.record(Keys.inventoryPart(part), InventoryRecord.class);
    }

    /** The revision of the last change of a record, for preconditions; 0 when there is no such record. */
    public long revision(String key) {
        return records.revision(key);
    }

    /** Drops a record that nobody reads or writes any more. */
    public void evict(String key) {
        records.forget(key);
    }

    /** Records our own committed write at once, before the follow brings it. */
    public void applyCommitted(String key, @Nullable StoredRecord record, long revision) {
        records.apply(key, record, revision);
    }

    /** Calls back with true once the replica is as new as this moment, false when that can't be had now. */
    public void requestBarrier(Consumer<Boolean> then) {
        requestBarrier.request(then);
    }

    private void load() {
        position.loading();
        loader.load();
    }

    private void loadCompleted(long revision, long sentMicros) {
        position.loaded(revision, sentMicros);
        if (!loadedOnce) {
            loadedOnce = true;
            listener.onLoaded();
        }
        follower.follow();
    }
}
