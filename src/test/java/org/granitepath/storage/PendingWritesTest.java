package org.granitepath.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.granitepath.storage.KeyValueStore.Change;
import org.granitepath.storage.WriteQueue.Urgency;
import org.junit.jupiter.api.Test;

/** Pending writes are gathered into transactions by urgency, due time and size. */
class PendingWritesTest {
    private static final StoredRecord SMALL = new UnknownRecord(Map.of("x", 1));
    private static final StoredRecord LARGE = new UnknownRecord(Map.of("x", "y".repeat(30_000)));

    private final PendingWrites pending = new PendingWrites(8);

    private void add(String name, Urgency urgency, long dueMicros, StoredRecord... records) {
        List<Change> changes = new ArrayList<>();
        for (StoredRecord record : records) {
            changes.add(Change.write(name + changes.size(), record));
        }
        pending.add(name, new PendingWrites.Write(urgency, () -> changes, revision -> {}, dueMicros));
    }

    private List<String> gatheredNames(int maxChanges, int maxChangesWithProgress) {
        return List.copyOf(
                pending.gather(0, maxChanges, maxChangesWithProgress).writes().keySet());
    }

    @Test
    void mostUrgentWritesAreGatheredFirst() {
        add("progress", Urgency.PROGRESS_ONLY, 0, SMALL);
        add("work", Urgency.WORK, 0, SMALL);
        add("safety", Urgency.SAFETY, 0, SMALL);
        assertEquals(List.of("safety", "work", "progress"), gatheredNames(8, 8));
        assertEquals(List.of("safety", "work"), gatheredNames(8, 2));
        assertEquals(List.of("safety"), gatheredNames(1, 1));
        assertEquals(2, pending.countExcludingProgress());
    }

    @Test
    void aLaterWriteNeitherDelaysAnEarlierOneNorMakesItLessUrgent() {
        add("a", Urgency.SAFETY, 10, SMALL);
        add("a", Urgency.WORK, 20, SMALL, SMALL);
        assertEquals(10, pending.microsUntilDue(0));
        WriteBatch batch = pending.gather(0, 8, 8);
        assertEquals(2, batch.size());
        assertEquals(Urgency.SAFETY, batch.writes().get("a").urgency());
    }

    @Test
    void writesThatAreNotDueFillAtMostHalfATransaction() {
        for (int i = 0; i < 8; i++) {
            add("later" + i, Urgency.WORK, 1, SMALL);
        }
        add("due", Urgency.WORK, 0, SMALL);
        assertEquals(List.of("later0", "later1", "later2", "later3", "due"), gatheredNames(8, 8));
    }

    @Test
    void aWriteWithoutContentIsWithdrawn() {
        add("a", Urgency.WORK, 0);
        assertTrue(gatheredNames(8, 8).isEmpty());
        assertTrue(pending.isEmpty());
    }

    @Test
    void writesThatExceedTheLimitsTogetherAreSentSeparately() {
        add("a", Urgency.WORK, 0, LARGE);
        add("b", Urgency.WORK, 0, LARGE);
        add("c", Urgency.WORK, 0, SMALL);
        assertEquals(List.of("a", "c"), gatheredNames(8, 8));
        add("many", Urgency.SAFETY, 0, SMALL, SMALL, SMALL);
        assertEquals(List.of("many"), gatheredNames(2, 2));
    }

    @Test
    void aWriteEnqueuedAgainIsNotReplacedByTheOneThatWasSent() {
        add("a", Urgency.WORK, 0, SMALL);
        add("b", Urgency.WORK, 0, SMALL);
        WriteBatch sent = pending.gather(0, 8, 8);
        pending.remove(sent.writes());
        assertTrue(pending.isEmpty());
        add("a", Urgency.WORK, 5, SMALL, SMALL);
        pending.restore(sent.writes());
        assertEquals(0, pending.microsUntilDue(0));
        assertEquals(3, pending.gather(0, 8, 8).size());
    }
}
