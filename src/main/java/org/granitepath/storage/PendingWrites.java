package org.granitepath.storage;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.granitepath.storage.KeyValueStore.Change;
import org.granitepath.storage.WriteQueue.Urgency;

/** Writes that wait to be sent, by name, in the order in which they were first asked for. */
final class PendingWrites {
    /** One thing to be written: a few changes that belong together. */
    record Write(Urgency urgency, Supplier<List<Change>> content, LongConsumer committed, long dueMicros) {}

    private final Map<String, Write> writes = new LinkedHashMap<>();
    private final int transactionChanges;

    /** @param transactionChanges the most changes that the store takes in a transaction */
    PendingWrites(int transactionChanges) {
        this.transactionChanges = transactionChanges;
    }

    boolean isEmpty() {
        return writes.isEmpty();
    }

    /** Replaces an earlier write of the same name, but neither puts it off nor makes it less urgent. */
    void add(String name, Write write) {
        Write earlier = writes.get(name);
        writes.put(name, earlier == null ? write : merged(earlier, write));
    }

    private static Write merged(Write earlier, Write later) {
        return new Write(
                later.urgency().compareTo(earlier.urgency()) < 0 ? later.urgency() : earlier.urgency(),
                later.content(),
                later.committed(),
                Math.min(later.dueMicros(), earlier.dueMicros()));
    }

    /** Puts back what was sent in vain, unless the same was asked for again meanwhile. */
    void restore(Map<String, Write> sent) {
        sent.forEach(writes::putIfAbsent);
    }

    void remove(Map<String, Write> sent) {
        writes.keySet().removeAll(sent.keySet());
    }

    /** How long until the first write is due; 0 or less: now. */
    long microsUntilDue(long nowMicros) {
        long wait = Long.MAX_VALUE;
        for (Write write : writes.values()) {
            wait = Math.min(wait, write.dueMicros() - nowMicros);
        }
        return wait;
    }

    /** How many writes wait that do more than tell of progress. */
    long countWithoutProgress() {
        return writes.values().stream()
                .filter(write -> write.urgency() != Urgency.PROGRESS_ONLY)
                .count();
    }

    /**
     * Fills one transaction, most urgent first. Contents are made only while there is capacity: hundreds may wait.
     * Writes whose content is empty are withdrawn; what goes into the transaction stays pending until it is removed.
     *
     * @param most the most changes, but for a single write that has more
     * @param mostForProgress from how many changes on no write that only tells of progress is added
     */
    WriteBatch gather(long nowMicros, int most, int mostForProgress) {
        WriteBatch batch = new WriteBatch(most);
        List<String> withdrawn = new ArrayList<>();
        for (Urgency urgency : Urgency.values()) {
            int capacity = urgency == Urgency.PROGRESS_ONLY ? mostForProgress : most;
            for (var named : writes.entrySet()) {
                if (batch.size() >= capacity) {
                    break;
                }
                Write write = named.getValue();
                if (write.urgency() != urgency || (write.dueMicros() > nowMicros && isHalfFull(batch))) {
                    continue;
                }
                List<Change> content = write.content().get();
                if (content.isEmpty()) {
                    withdrawn.add(named.getKey());
                } else {
                    batch.addIfFits(named.getKey(), write, content);
                }
            }
        }
        writes.keySet().removeAll(withdrawn);
        return batch;
    }

    /** What is not due yet goes along only while there is plenty of capacity. */
    private boolean isHalfFull(WriteBatch batch) {
        return batch.size() * 2 >= transactionChanges;
    }
}
