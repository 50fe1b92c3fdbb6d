package org.granitepath.storage;

import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * A copy of all records, kept up to date by following the store. {@link RecordLoader} reads all records once,
 * {@link RecordFollower} then follows their changes, and {@link ReadBarrier} reads the changes on request.
 */
public final class RecordReplica {

    /** Receives every change of a record, in order. */
    public interface Listener {
        /**
         * Called when a record was written, or removed if {@code record} is null.
         *
         * @param revision the revision of the change
         */
        void onRecordChanged(String key, @Nullable StoredRecord record, long revision);

        /** Called when all records have been read for the first time. */
        void onLoaded();
    }

    private final Listener listener;
    private final ReplicaRecords records;
    private final ReplicaPosition position;
    private final ReadBarrier readBarrier;
    private final RecordFollower follower;
    private final RecordLoader loader;
    private boolean loadedOnce;

    /**
     * @param spacingMicros the shortest time between two reads of one kind, which follows from this controller's share
     *     of requests
     */
    public RecordReplica(KeyValueStore store, Timers timers, long spacingMicros, Listener listener) {
        this.listener = listener;
        this.records = new ReplicaRecords(listener);
        this.position = new ReplicaPosition(records, timers.nowMicros());
        this.readBarrier = new ReadBarrier(store, timers, spacingMicros, position);
        this.follower = new RecordFollower(store, timers, spacingMicros, position, readBarrier, this::startLoad);
        this.loader = new RecordLoader(store, timers, records, this::onLoadCompleted);
    }

    /** Starts to read all records and then to follow their changes. */
    public void start() {
        startLoad();
    }

    /** Returns whether all records have been read at least once. */
    public boolean isLoaded() {
        return loadedOnce;
    }

    /** Returns when the last request was sent whose answer brought the replica up to date, in steady time. */
    public long lastContactMicros() {
        return position.lastContactMicros();
    }

    /** Returns the store's revision up to which the records are known. */
    public long storeRevision() {
        return position.storeRevision();
    }

    /** Returns how many times a record could not be decoded so far. */
    public long malformedRecordCount() {
        return records.malformedCount();
    }

    /** Returns whether there is a record with this key. */
    public boolean has(String key) {
        return records.has(key);
    }

    /** Returns the leader's record, or null if there is none. */
    public @Nullable LeaderRecord leader() {
        return records.record(Keys.LEADER, LeaderRecord.class);
    }

    /** Returns the counter of fencing tokens, or null if no token has been issued yet. */
    public @Nullable FencingTokenRecord fencingToken() {
        return records.record(Keys.FENCING_TOKEN, FencingTokenRecord.class);
    }

    /** Returns how many parts the machine inventory has, including those that cannot be read. */
    public int inventoryPartCount() {
        int parts = 0;
        while (has(Keys.inventoryPartKey(parts))) {
            parts++;
        }
        return parts;
    }

    /** Returns a part of the machine inventory, or null if there is no such part or it cannot be read. */
    public @Nullable InventoryRecord inventoryPart(int part) {
        return records.record(Keys.inventoryPartKey(part), InventoryRecord.class);
    }

    /** Returns the revision of the last change of a record, for use in preconditions; 0 if there is no such record. */
    public long revision(String key) {
        return records.revision(key);
    }

    /** Removes a record from the replica that no component reads or writes any more. The store keeps it. */
    public void evict(String key) {
        records.evict(key);
    }

    /** Applies a write that this controller has committed, before the change arrives from the store. */
    public void applyCommitted(String key, @Nullable StoredRecord record, long revision) {
        records.apply(key, record, revision);
    }

    /**
     * Calls back with true once the replica includes everything committed before this call, or with false if that
     * cannot be reached now.
     */
    public void requestBarrier(Consumer<Boolean> callback) {
        readBarrier.request(callback);
    }

    private void startLoad() {
        position.startLoading();
        loader.load();
    }

    private void onLoadCompleted(long revision, long sentMicros) {
        position.finishLoading(revision, sentMicros);
        if (!loadedOnce) {
            loadedOnce = true;
            listener.onLoaded();
        }
        follower.follow();
    }
}
