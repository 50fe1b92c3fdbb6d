package org.granitepath.coordination.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.RangeSet;
import com.google.common.collect.TreeRangeSet;
import java.util.NoSuchElementException;
import org.granitepath.storage.ProgressRecord;
import org.junit.jupiter.api.Test;

/** Which of the task numbers 0 to 4, claimed by a former leader with task 1 done, are done, free and unconfirmed. */
class TaskNumbersTest {
    private final RangeSet<Integer> doneOnRecord = TreeRangeSet.create();
    private final TaskNumbers numbers = claimedByFormerLeader();

    private TaskNumbers claimedByFormerLeader() {
        ProgressRecord.addTask(doneOnRecord, 1);
        return new TaskNumbers(5, doneOnRecord);
    }

    @Test
    void whatIsClaimedAndNotDoneIsUnconfirmed() {
        assertEquals(4, numbers.unconfirmedCount());
        assertEquals(1, numbers.doneCount());
        assertTrue(numbers.isDone(1));
        assertFalse(numbers.hasClaimed(), "none is proved to be on no machine");
    }

    @Test
    void allThatIsClaimedCountsAsStarted() {
        assertEquals(5, numbers.claimed());
        assertEquals(5, numbers.requestedClaim());
        assertEquals(5, numbers.firstNeverStarted());
    }

    @Test
    void theRecordItselfIsNotChanged() {
        numbers.markDone(2);
        assertFalse(doneOnRecord.contains(2));
    }

    @Test
    void theLowestNumberThatIsFreeAgainGoesFirst() {
        numbers.resolveUnconfirmed();
        numbers.claimRecorded(6);
        assertEquals(0, numbers.firstFreed());
        assertEquals(0, numbers.take());
        assertEquals(2, numbers.take());
        numbers.take(3);
        assertEquals(4, numbers.take());
        assertEquals(5, numbers.take(), "never started before");
        assertFalse(numbers.hasClaimed());
    }

    @Test
    void noneIsFreeAgainWhileAllAreUnconfirmed() {
        assertThrows(NoSuchElementException.class, numbers::firstFreed);
    }

    @Test
    void aRequestedClaimStartsNothing() {
        numbers.claimRequested(8);
        assertEquals(8, numbers.requestedClaim());
        assertEquals(5, numbers.claimed());
        assertFalse(numbers.hasClaimed());
        numbers.claimRecorded(8);
        assertTrue(numbers.hasClaimed());
    }

    @Test
    void whatIsPlacedIsNeitherUnconfirmedNorFree() {
        numbers.placed(0);
        assertEquals(3, numbers.unconfirmedCount());
        numbers.resolveUnconfirmed();
        assertEquals(2, numbers.firstFreed());
        numbers.placed(2);
        assertEquals(3, numbers.firstFreed());
    }

    @Test
    void whatMayBeElsewhereIsUnconfirmedAgain() {
        numbers.placed(0);
        numbers.unplaced(0, true);
        assertEquals(4, numbers.unconfirmedCount());
        assertFalse(numbers.hasClaimed());
    }

    @Test
    void whatIsNowhereIsFreeAgain() {
        numbers.placed(0);
        numbers.unplaced(0, false);
        assertEquals(3, numbers.unconfirmedCount());
        assertEquals(0, numbers.firstFreed());
    }

    @Test
    void whatIsDoneIsCountedOnceAndNeverFreeAgain() {
        numbers.placed(0);
        numbers.markDone(0);
        numbers.markDone(0);
        assertEquals(2, numbers.doneCount());
        numbers.unplaced(0, false);
        assertFalse(numbers.hasClaimed());
        numbers.unplaced(0, true);
        assertEquals(3, numbers.unconfirmedCount());
    }

    @Test
    void anUnconfirmedOneThatIsDoneIsUnconfirmedNoMore() {
        numbers.markDone(3);
        assertEquals(3, numbers.unconfirmedCount());
    }

    @Test
    void allAreDoneTogether() {
        numbers.placed(0);
        numbers.unplaced(0, false);
        numbers.markAllDone(10);
        assertEquals(10, numbers.doneCount());
        assertTrue(numbers.isDone(9));
        assertEquals(0, numbers.unconfirmedCount());
        assertFalse(numbers.hasClaimed());
    }
}
