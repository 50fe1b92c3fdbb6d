package org.granitepath.storage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.granitepath.storage.KeyValueStore.Item;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The records of a replica, each with the revision of its last change. They only move forward by revision. */
final class ReplicaRecords {
    private static final Logger LOG = LoggerFactory.getLogger(ReplicaRecords.class);

    /** {@code record} null: removed at this revision. */
    private record Entry(@Nullable StoredRecord record, long revision) {}

    private final RecordReplica.Listener listener;
    private final Map<String, Entry> entries = new HashMap<>();
    private long malformed;

    ReplicaRecords(RecordReplica.Listener listener) {
        this.listener = listener;
    }

    boolean has(String key) {
        Entry entry = entries.get(key);
        return entry != null && entry.record() != null;
    }

    /** The record, or null when there is none or it is of another type. */
    <T extends StoredRecord> @Nullable T record(String key, Class<T> type) {
        Entry entry = entries.get(key);
        return entry != null && type.isInstance(entry.record()) ? type.cast(entry.record()) : null;
    }

    /** The revision of the last change of a record; 0 when there is no such record. */
    long revision(String key) {
        Entry entry = entries.get(key);
        return entry == null || entry.record() == null ? 0 : entry.revision();
    }

    /** How many records could not be read so far. */
    long malformed() {
        return malformed;
    }

    void forget(String key) {
        entries.remove(key);
    }

    /** Takes in what was read. Our own writes come back this way, and are known: they are not decoded again. */
    void apply(Item item) {
        if (isNewer(item.key(), item.revision())) {
            apply(item.key(), decode(item), item.revision());
        }
    }

    /** Takes in a change, {@code record} null for a removal, unless a later one is known. */
    void apply(String key, @Nullable StoredRecord record, long revision) {
        if (isNewer(key, revision)) {
            entries.put(key, new Entry(record, revision));
            listener.onRecordChanged(key, record, revision);
        }
    }

    /** Removes the records that a complete listing as of this revision does not hold: they were removed meanwhile. */
    void removeAllBut(Set<String> listed, long revision) {
        // A copy, as the listener may have records forgotten.
        for (String key : new ArrayList<>(entries.keySet())) {
            Entry entry = entries.get(key);
            if (entry != null && entry.record() != null && !listed.contains(key) && entry.revision() < revision) {
                apply(key, null, revision);
            }
        }
    }

    private boolean isNewer(String key, long revision) {
        Entry known = entries.get(key);
        return known == null || known.revision() < revision;
    }

    private @Nullable StoredRecord decode(Item item) {
        Map<String, Object> fields = item.value();
        if (fields == null) {
            return null;
        }
        try {
            return StoredRecordCodec.decode(item.key(), fields);
        } catch (MalformedRecordException e) {
            malformed++;
            LOG.error("{} ({} so far)", e.getMessage(), malformed);
            return new UnknownRecord(fields);
        }
    }
}
