package org.granitepath.storage;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.granitepath.storage.KeyValueStore.Change;

/** The writes of one transaction, with their changes. */
final class WriteBatch {
    private static final int MAX_TRANSACTION_BYTES = 48 * 1024;
    private static final int CHANGE_OVERHEAD_BYTES = 100;

    private final int maxChanges;
    private final List<Change> changes = new ArrayList<>();
    private final Map<String, PendingWrites.Write> writes = new LinkedHashMap<>();
    private int bytes;

    /** @param maxChanges the largest number of changes, unless a single write has more */
    WriteBatch(int maxChanges) {
        this.maxChanges = maxChanges;
    }

    /** Returns the number of changes. */
    int size() {
        return changes.size();
    }

    /** Returns the changes of all writes, in the order in which they were added. */
    List<Change> changes() {
        return changes;
    }

    /** Returns the writes that the changes belong to, by name. */
    Map<String, PendingWrites.Write> writes() {
        return writes;
    }

    /** Adds a write with its changes, unless the transaction has other writes and would become too large. */
    void addIfFits(String name, PendingWrites.Write write, List<Change> content) {
        int size = content.stream().mapToInt(WriteBatch::maxChangeBytes).sum();
        boolean fits = changes.size() + content.size() <= maxChanges && bytes + size <= MAX_TRANSACTION_BYTES;
        if (changes.isEmpty() || fits) {
            changes.addAll(content);
            bytes += size;
            writes.put(name, write);
        }
    }

    /** Returns an upper bound of the bytes that a change takes in a transaction. */
    static int maxChangeBytes(Change change) {
        return CHANGE_OVERHEAD_BYTES + (change.record() == null ? 0 : RecordSize.of(change.record()));
    }
}
