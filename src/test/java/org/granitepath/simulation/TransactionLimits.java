package org.granitepath.simulation;

import org.granitepath.protocol.Json;
import org.granitepath.storage.KeyValueStore;
import org.granitepath.storage.StoredRecordCodec;

/**
 * The size limits of a transaction in the simulated store.
 *
 * @param maxChanges how many changes a transaction may have; it may have four times as many preconditions
 * @param maxValueBytes how long each encoded value may be, in characters
 */
record TransactionLimits(int maxChanges, int maxValueBytes) {
    private static final int PRECONDITIONS_PER_CHANGE = 4;

    boolean isExceededBy(KeyValueStore.Transaction transaction) {
        return transaction.changes().size() > maxChanges
                || transaction.preconditions().size() > PRECONDITIONS_PER_CHANGE * maxChanges
                || transaction.changes().stream().anyMatch(this::isTooLarge);
    }

    private boolean isTooLarge(KeyValueStore.Change change) {
        return change.record() != null && encodedValue(change).length() > maxValueBytes;
    }

    /** The JSON text of the record of a change, as the store keeps it. */
    static String encodedValue(KeyValueStore.Change change) {
        return Json.encode(StoredRecordCodec.encode(change.record()));
    }
}
