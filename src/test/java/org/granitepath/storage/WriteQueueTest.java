package org.granitepath.storage;

import static org.granitepath.storage.ReplicaFixture.SPACING_MICROS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.granitepath.coordination.ManualTimers;
import org.granitepath.storage.KeyValueStore.Change;
import org.granitepath.storage.KeyValueStore.CommitResult;
import org.granitepath.storage.KeyValueStore.Outcome;
import org.granitepath.storage.KeyValueStore.Page;
import org.granitepath.storage.KeyValueStore.Precondition;
import org.granitepath.storage.KeyValueStore.Transaction;
import org.granitepath.storage.WriteQueue.Urgency;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Checks which transactions the queue sends to the store, one at a time, and how it handles each answer. */
class WriteQueueTest {
    private static final long SECOND_MICROS = 1_000_000;
    private static final double WRITES_PER_SECOND = 10;
    private static final int TRANSACTION_CHANGES = 4;
    private static final Precondition FENCE = new Precondition(Keys.LEADER, 3);
    private static final StoredRecord RECORD = new UnknownRecord(Map.of("x", 1));

    private final ManualTimers timers = new ManualTimers();
    private final ScriptedStore store = new ScriptedStore();
    private final RecordReplica replica =
            new RecordReplica(store, timers, SPACING_MICROS, new RecordReplica.Listener() {
                @Override
                public void onRecordChanged(String key, StoredRecord record, long revision) {}

                @Override
                public void onLoaded() {}
            });
    private final List<String> committedWrites = new ArrayList<>();
    private boolean isOpen = true;
    private final WriteQueue queue = new WriteQueue(
            store,
            replica,
            timers,
            TRANSACTION_CHANGES,
            WRITES_PER_SECOND,
            RateControl.FIXED,
            () -> List.of(FENCE),
            () -> isOpen);

    /** Lets the replica read all records, which is one record of revision 5. */
    @BeforeEach
    void load() {
        replica.start();
        store.listings
                .remove()
                .answer()
                .accept(new Page(
                        Outcome.OK, List.of(new KeyValueStore.Item("g/test/known", Map.of("x", 0), 5)), false, 7));
        store.follows.remove(); // the test leaves the long poll without an answer
    }

    private void write(String name) {
        write(name, Urgency.WORK, 0);
    }

    private void write(String name, Urgency urgency, long delayMicros) {
        queue.enqueue(
                name,
                urgency,
                delayMicros,
                () -> List.of(Change.write("g/test/" + name, RECORD)),
                revision -> committedWrites.add(name + "@" + revision));
    }

    private void answer(Outcome outcome, long revision) {
        store.commits.remove().answer().accept(new CommitResult(outcome, revision, List.of()));
    }

    /** Returns the names of the writes in the transaction that is in progress. */
    private List<String> writesInProgress() {
        return store.commits.element().transaction().changes().stream()
                .map(change -> change.key().substring("g/test/".length()))
                .toList();
    }

    @Test
    void eachChangeHasTheFenceAndTheRevisionOfItsKeyAsPreconditions() {
        write("known");
        assertEquals(
                new Transaction(
                        List.of(FENCE, new Precondition("g/test/known", 5)),
                        List.of(Change.write("g/test/known", RECORD))),
                store.commits.element().transaction());
    }

    @Test
    void aNewRecordHasThePreconditionThatItsKeyDoesNotExist() {
        write("new");
        assertEquals(
                List.of(FENCE, new Precondition("g/test/new", 0)),
                store.commits.element().transaction().preconditions());
    }

    @Test
    void aCommittedWriteIsReportedAndAppliedToTheReplicaAtOnce() {
        write("a");
        answer(Outcome.OK, 8);
        assertEquals(List.of("a@8"), committedWrites);
        assertEquals(8, replica.revision("g/test/a"));
    }

    @Test
    void oneTransactionIsInProgressAtATime() {
        write("a");
        write("b");
        write("c");
        timers.advance(SECOND_MICROS);
        assertEquals(1, store.commits.size());
        answer(Outcome.OK, 8);
        assertEquals(List.of("b", "c"), writesInProgress());
    }

    @Test
    void aWriteThatIsNotDueWaits() {
        write("a", Urgency.WORK, SECOND_MICROS);
        timers.advance(SECOND_MICROS - 1);
        assertTrue(store.commits.isEmpty());
        timers.advance(1);
        assertEquals(List.of("a"), writesInProgress());
    }

    @Test
    void aClosedQueueSendsNothing() {
        isOpen = false;
        write("a");
        timers.advance(SECOND_MICROS);
        assertTrue(store.commits.isEmpty());
    }

    @Test
    void aWriteWaitsUntilTheBudgetAllowsIt() {
        for (int sent = 0; sent < WRITES_PER_SECOND; sent++) {
            write("a");
            answer(Outcome.OK, 8 + sent);
        }
        write("b");
        timers.advance(SECOND_MICROS / 10);
        assertTrue(store.commits.isEmpty());
        timers.advance(SECOND_MICROS / 100);
        assertEquals(List.of("b"), writesInProgress());
    }

    @Test
    void progressWritesLeavePartOfTheBudgetToOtherWrites() {
        for (int sent = 0; sent < 7; sent++) {
            write("a");
            answer(Outcome.OK, 8 + sent);
        }
        write("progress", Urgency.PROGRESS_ONLY, 0);
        assertTrue(store.commits.isEmpty());
        write("work");
        assertEquals(List.of("work"), writesInProgress());
    }

    @Test
    void aRefusedTransactionIsSentAgain() {
        write("a");
        answer(Outcome.REFUSED, 0);
        assertTrue(store.commits.isEmpty());
        timers.advance(SECOND_MICROS);
        assertEquals(List.of("a"), writesInProgress());
        assertEquals(List.of(), committedWrites);
    }

    @Test
    void anInvalidWriteIsAbandonedAndTheNextOneIsSent() {
        write("a");
        answer(Outcome.INVALID, 0);
        timers.advance(SECOND_MICROS);
        assertTrue(store.commits.isEmpty());
        write("b");
        assertEquals(List.of("b"), writesInProgress());
        assertEquals(List.of(), committedWrites);
    }

    @ParameterizedTest
    @EnumSource(
            value = Outcome.class,
            names = {"CONFLICT", "UNKNOWN"})
    void aWriteThatMayHaveBeenCommittedIsSentWithTheRevisionThatIsReadBack(Outcome outcome) {
        write("known");
        answer(outcome, 0);
        timers.advance(SECOND_MICROS);
        assertTrue(store.commits.isEmpty(), "nothing is sent before the records are read");
        store.follows
                .remove()
                .answer()
                .accept(new Page(
                        Outcome.OK, List.of(new KeyValueStore.Item("g/test/known", Map.of("x", 2), 9)), false, 9));
        assertEquals(
                List.of(FENCE, new Precondition("g/test/known", 9)),
                store.commits.element().transaction().preconditions());
    }

    @Test
    void readingBackIsRepeatedUntilItSucceeds() {
        write("a");
        answer(Outcome.CONFLICT, 0);
        timers.advance(0);
        store.follows.remove().answer().accept(new Page(Outcome.UNKNOWN, List.of(), false, 0));
        assertTrue(store.commits.isEmpty());
        timers.advance(SECOND_MICROS);
        store.follows.remove().answer().accept(new Page(Outcome.OK, List.of(), false, 9));
        assertEquals(List.of("a"), writesInProgress());
    }

    @Test
    void aQueueClosedDuringReadBackSendsNothing() {
        write("a");
        answer(Outcome.CONFLICT, 0);
        timers.advance(0);
        isOpen = false;
        store.follows.remove().answer().accept(new Page(Outcome.OK, List.of(), false, 9));
        timers.advance(SECOND_MICROS);
        assertTrue(store.commits.isEmpty());
    }

    @Test
    void aQueueClosedDuringReadBackDoesNotRepeatIt() {
        write("a");
        answer(Outcome.CONFLICT, 0);
        timers.advance(0);
        isOpen = false;
        store.follows.remove().answer().accept(new Page(Outcome.UNKNOWN, List.of(), false, 0));
        timers.advance(SECOND_MICROS);
        assertTrue(store.follows.isEmpty());
    }

    @ParameterizedTest
    @EnumSource
    void theQueueIsBehindIfWritesOtherThanProgressWaitForSeconds(Urgency urgency) {
        write("first");
        for (int i = 0; i < 3 * WRITES_PER_SECOND + TRANSACTION_CHANGES + 1; i++) {
            write("waits" + i, urgency, 0);
        }
        assertFalse(queue.isBehind(), "determined when a transaction is sent");
        answer(Outcome.OK, 8);
        assertEquals(urgency != Urgency.PROGRESS_ONLY, queue.isBehind());
    }
}
