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
        assertFalse(numbers.hasStartableTask(), "none is proved to be on no machine");
    }

    @Test
    void allThatIsClaimedCountsAsStarted() {
        assertEquals(5, numbers.claimedTasks());
        assertEquals(5, numbers.requestedClaim());
        assertEquals(5, numbers.firstUnstartedTask());
    }

    @Test
    void theRecordItselfIsNotChanged() {
        numbers.markDone(2);
        assertFalse(doneOnRecord.contains(2));
    }

    @Test
    void theLowestNumberThatIsFreeAgainGoesFirst() {
        numbers.resolveUnconfirmed();
        numbers.confirmClaim(6);
        assertEquals(0, numbers.firstFreedTask());
        assertEquals(0, numbers.take());
        assertEquals(2, numbers.take());
        numbers.take(3);
        assertEquals(4, numbers.take());
        assertEquals(5, numbers.take(), "never started before");
        assertFalse(numbers.hasStartableTask());
    }

    @Test
    void noneIsFreeAgainWhileAllAreUnconfirmed() {
        assertThrows(NoSuchElementException.class, numbers::firstFreedTask);
    }

    @Test
    void aRequestedClaimStartsNothing() {
        numbers.requestClaim(8);
        assertEquals(8, numbers.requestedClaim());
        assertEquals(5, numbers.claimedTasks());
        assertFalse(numbers.hasStartableTask());
        numbers.confirmClaim(8);
        assertTrue(numbers.hasStartableTask());
    }

    @Test
    void whatIsPlacedIsNeitherUnconfirmedNorFree() {
        numbers.markPlaced(0);
        assertEquals(3, numbers.unconfirmedCount());
        numbers.resolveUnconfirmed();
        assertEquals(2, numbers.firstFreedTask());
        numbers.markPlaced(2);
        assertEquals(3, numbers.firstFreedTask());
    }

    @Test
    void whatMayBeElsewhereIsUnconfirmedAgain() {
        numbers.markPlaced(0);
        numbers.markRemoved(0, true);
        assertEquals(4, numbers.unconfirmedCount());
        assertFalse(numbers.hasStartableTask());
    }

    @Test
    void whatIsNowhereIsFreeAgain() {
        numbers.markPlaced(0);
        numbers.markRemoved(0, false);
        assertEquals(3, numbers.unconfirmedCount());
        assertEquals(0, numbers.firstFreedTask());
    }

    @Test
    void whatIsDoneIsCountedOnceAndNeverFreeAgain() {
        numbers.markPlaced(0);
        numbers.markDone(0);
        numbers.markDone(0);
        assertEquals(2, numbers.doneCount());
        numbers.markRemoved(0, false);
        assertFalse(numbers.hasStartableTask());
        numbers.markRemoved(0, true);
        assertEquals(3, numbers.unconfirmedCount());
    }

    @Test
    void anUnconfirmedOneThatIsDoneIsUnconfirmedNoMore() {
        numbers.markDone(3);
        assertEquals(3, numbers.unconfirmedCount());
    }

    @Test
    void allAreDoneTogether() {
        numbers.markPlaced(0);
        numbers.markRemoved(0, false);
        numbers.markAllDone(10);
        assertEquals(10, numbers.doneCount());
        assertTrue(numbers.isDone(9));
        assertEquals(0, numbers.unconfirmedCount());
        assertFalse(numbers.hasStartableTask());
    }
}
