package org.granitepath.storage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.granitepath.storage.KeyValueStore.Item;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The records of a replica, each with the revision of its last change. A record is only replaced by one of a later
 * revision.
 */
final class ReplicaRecords {
    private static final Logger LOG = LoggerFactory.getLogger(ReplicaRecords.class);

    /** A record with its revision; {@code record} is null if the record was removed at this revision. */
    private record Entry(@Nullable StoredRecord record, long revision) {}

    private final RecordReplica.Listener listener;
    private final Map<String, Entry> entries = new HashMap<>();
    private long malformedCount;

    ReplicaRecords(RecordReplica.Listener listener) {
        this.listener = listener;
    }

    /** Returns whether there is a record with this key. */
    boolean has(String key) {
        Entry entry = entries.get(key);
        return entry != null && entry.record() != null;
    }

    /** Returns the record, or null if there is none or it is of another type. */
    <T extends StoredRecord> @Nullable T record(String key, Class<T> type) {
        Entry entry = entries.get(key);
        return entry != null && type.isInstance(entry.record()) ? type.cast(entry.record()) : null;
    }

    /** Returns the revision of the last change of a record; 0 if there is no such record. */
    long revision(String key) {
        Entry entry = entries.get(key);
        return entry == null || entry.record() == null ? 0 : entry.revision();
    }

    /** Returns how many times a record could not be decoded so far. */
    long malformedCount() {
        return malformedCount;
    }

    /** Removes a record without notifying the listener. */
    void evict(String key) {
        entries.remove(key);
    }

    /**
     * Applies a record as read from the store, unless this revision or a later one is known. The controller's own
     * writes arrive this way too; they are already known and are not decoded again.
     */
    void apply(Item item) {
        if (isNewer(item.key(), item.revision())) {
            apply(item.key(), decode(item), item.revision());
        }
    }

    /** Applies a change, unless this revision or a later one is known; {@code record} is null for a removal. */
    void apply(String key, @Nullable StoredRecord record, long revision) {
        if (isNewer(key, revision)) {
            entries.put(key, new Entry(record, revision));
            listener.onRecordChanged(key, record, revision);
        }
    }

    /**
     * Removes the records that a complete listing as of this revision does not contain, since they have been removed
     * from the store. Records changed at or after this revision stay.
     */
    void removeAllExcept(Set<String> listedKeys, long revision) {
        // The loop iterates over a copy because the listener may evict records.
        for (String key : new ArrayList<>(entries.keySet())) {
            Entry entry = entries.get(key);
            if (entry != null && entry.record() != null && !listedKeys.contains(key) && entry.revision() < revision) {
                apply(key, null, revision);
            }
        }
    }

    private boolean isNewer(String key, long revision) {
        Entry knownEntry = entries.get(key);
        return knownEntry == null || knownEntry.revision() < revision;
    }

    private @Nullable StoredRecord decode(Item item) {
        Map<String, Object> fields = item.value();
        if (fields == null) {
            return null;
        }
        try {
            return StoredRecordCodec.decode(item.key(), fields);
        } catch (MalformedRecordException e) {
            malformedCount++;
            LOG.error("{} ({} malformed records so far)", e.getMessage(), malformedCount);
            return new UnknownRecord(fields);
        }
    }
}
