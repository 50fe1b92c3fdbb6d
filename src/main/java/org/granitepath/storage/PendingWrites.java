package org.granitepath.storage;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.granitepath.storage.KeyValueStore.Change;
import org.granitepath.storage.WriteQueue.Urgency;

/** Writes that wait to be sent, by name, in the order in which each name was first enqueued. */
final class PendingWrites {
    /**
     * One write: a few changes that belong together.
     *
     * @param content produces the changes when the transaction is built; none withdraws the write
     * @param onCommitted called with the store's revision after the commit
     * @param dueMicros the steady time from which the write should be sent
     */
    record Write(Urgency urgency, Supplier<List<Change>> content, LongConsumer onCommitted, long dueMicros) {}

    private final Map<String, Write> writes = new LinkedHashMap<>();
    private final int transactionChanges;

    /** @param transactionChanges the largest number of changes that the store accepts in a transaction */
    PendingWrites(int transactionChanges) {
        this.transactionChanges = transactionChanges;
    }

    boolean isEmpty() {
        return writes.isEmpty();
    }

    /** Adds a write. It replaces an earlier write of the same name, but neither delays it nor makes it less urgent. */
    void add(String name, Write write) {
        Write earlier = writes.get(name);
        writes.put(name, earlier == null ? write : merged(earlier, write));
    }

    private static Write merged(Write earlier, Write later) {
        return new Write(
                later.urgency().compareTo(earlier.urgency()) < 0 ? later.urgency() : earlier.urgency(),
                later.content(),
                later.onCommitted(),
                Math.min(later.dueMicros(), earlier.dueMicros()));
    }

    /**
     * Puts back writes of a transaction that was not committed, except for those that have been enqueued again since.
     */
    void restore(Map<String, Write> sent) {
        sent.forEach(writes::putIfAbsent);
    }

    void remove(Map<String, Write> sent) {
        writes.keySet().removeAll(sent.keySet());
    }

    /** Returns the time until the first write is due; 0 or less if one is due now. */
    long microsUntilDue(long nowMicros) {
        long wait = Long.MAX_VALUE;
        for (Write write : writes.values()) {
            wait = Math.min(wait, write.dueMicros() - nowMicros);
        }
        return wait;
    }

    /** Returns the number of waiting writes, without those of urgency {@link Urgency#PROGRESS_ONLY}. */
    long countExcludingProgress() {
        return writes.values().stream()
                .filter(write -> write.urgency() != Urgency.PROGRESS_ONLY)
                .count();
    }

    /**
     * Fills one transaction, most urgent writes first. Contents are only produced while the transaction has capacity,
     * because hundreds of writes may wait. A write whose content is empty is withdrawn. The writes of the transaction
     * stay pending until they are removed.
     *
     * @param maxChanges the largest number of changes, unless a single write has more
     * @param maxChangesWithProgress the number of changes from which on no write of urgency
     *     {@link Urgency#PROGRESS_ONLY} is added
     */
    WriteBatch gather(long nowMicros, int maxChanges, int maxChangesWithProgress) {
        WriteBatch batch = new WriteBatch(maxChanges);
        List<String> withdrawn = new ArrayList<>();
        for (Urgency urgency : Urgency.values()) {
            int capacity = urgency == Urgency.PROGRESS_ONLY ? maxChangesWithProgress : maxChanges;
            for (var entry : writes.entrySet()) {
                if (batch.size() >= capacity) {
                    break;
                }
                Write write = entry.getValue();
                if (write.urgency() != urgency || (write.dueMicros() > nowMicros && isHalfFull(batch))) {
                    continue;
                }
                List<Change> content = write.content().get();
                if (content.isEmpty()) {
                    withdrawn.add(entry.getKey());
                } else {
                    batch.addIfFits(entry.getKey(), write, content);
                }
            }
        }
        writes.keySet().removeAll(withdrawn);
        return batch;
    }

    /** Returns whether the transaction is at least half full. From then on, only writes that are due are added. */
    private boolean isHalfFull(WriteBatch batch) {
        return batch.size() * 2 >= transactionChanges;
    }
}
