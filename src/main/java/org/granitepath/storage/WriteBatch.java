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

    private final int most;
    private final List<Change> changes = new ArrayList<>();
    private final Map<String, PendingWrites.Write> writes = new LinkedHashMap<>();
    private int bytes;

    /** @param most the most changes, but for a single write that has more */
    WriteBatch(int most) {
        this.most = most;
    }

    /** How many changes there are. */
    int size() {
        return changes.size();
    }

    List<Change> changes() {
        return changes;
    }

    /** The writes that the changes belong to, by name. */
    Map<String, PendingWrites.Write> writes() {
        return writes;
    }

    /** Adds a write with its changes, unless there are others and it would be too much with them. */
    void addIfFits(String name, PendingWrites.Write write, List<Change> content) {
        int size = content.stream().mapToInt(WriteBatch::roughBytes).sum();
        boolean fits = changes.size() + content.size() <= most && bytes + size <= MAX_TRANSACTION_BYTES;
        if (changes.isEmpty() || fits) {
            changes.addAll(content);
            bytes += size;
            writes.put(name, write);
        }
    }

    /** The bytes that a change takes in a transaction, never fewer than it does. */
    static int roughBytes(Change change) {
        return CHANGE_OVERHEAD_BYTES + (change.record() == null ? 0 : RecordSize.of(change.record()));
    }
}
