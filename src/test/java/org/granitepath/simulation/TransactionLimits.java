package org.granitepath.simulation;

import org.granitepath.protocol.Json;
import org.granitepath.storage.KeyValueStore;
import org.granitepath.storage.StoredRecordCodec;

/** How large a transaction the simulated store takes: its changes, its preconditions and each of its values. */
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

    /** The value as the store keeps it. */
    static String encodedValue(KeyValueStore.Change change) {
        return Json.text(StoredRecordCodec.encode(change.record()));
    }
}
