package org.granitepath.coordination.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.RangeSet;
import com.google.common.collect.TreeRangeSet;
import java.lang.management.ManagementFactory;
import java.util.NoSuchElementException;
import org.granitepath.storage.ProgressRecord;
import org.junit.jupiter.api.Test;

/** Tests a job of which a previous leader claimed tasks 0 to 4 and task 1 is done. */
class TaskNumbersTest {
    /** The largest number of tasks that a user may submit. */
    private static final int MAX_TASKS = 100_000;
    /** A thousand such jobs fill a quarter of a controller's heap of 64 MB. */
    private static final long MAX_BYTES_PER_JOB = 16_000;

    private final RangeSet<Integer> recordedDoneTasks = TreeRangeSet.create();
    private final TaskNumbers numbers = claimedByPreviousLeader();

    private TaskNumbers claimedByPreviousLeader() {
        ProgressRecord.addTask(recordedDoneTasks, 1);
        return new TaskNumbers(5, recordedDoneTasks);
    }

    @Test
    void claimedTasksAreUnconfirmedUnlessDone() {
        assertEquals(4, numbers.unconfirmedCount());
        assertEquals(1, numbers.doneCount());
        assertTrue(numbers.isDone(1));
        assertFalse(numbers.hasStartableTask(), "no unconfirmed task may start");
    }

    @Test
    void claimedTasksCountAsStarted() {
        assertEquals(5, numbers.claimedTasks());
        assertEquals(5, numbers.requestedClaim());
        assertEquals(5, numbers.firstUnstartedTask());
    }

    @Test
    void recordedRangesAreNotChanged() {
        numbers.markDone(2);
        assertFalse(recordedDoneTasks.contains(2));
    }

    @Test
    void lowestFreedTaskStartsFirst() {
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
    void noTaskIsFreedWhileAllAreUnconfirmed() {
        assertThrows(NoSuchElementException.class, numbers::firstFreedTask);
    }

    @Test
    void requestedClaimAllowsNoStartsUntilConfirmed() {
        numbers.requestClaim(8);
        assertEquals(8, numbers.requestedClaim());
        assertEquals(5, numbers.claimedTasks());
        assertFalse(numbers.hasStartableTask());
        numbers.confirmClaim(8);
        assertTrue(numbers.hasStartableTask());
    }

    @Test
    void placedTaskIsNeitherUnconfirmedNorFree() {
        numbers.markPlaced(0);
        assertEquals(3, numbers.unconfirmedCount());
        numbers.resolveUnconfirmed();
        assertEquals(2, numbers.firstFreedTask());
        numbers.markPlaced(2);
        assertEquals(3, numbers.firstFreedTask());
    }

    @Test
    void removedTaskThatMayBeElsewhereIsUnconfirmedAgain() {
        numbers.markPlaced(0);
        numbers.markRemoved(0, true);
        assertEquals(4, numbers.unconfirmedCount());
        assertFalse(numbers.hasStartableTask());
    }

    @Test
    void removedTaskThatIsNowhereElseIsFreeAgain() {
        numbers.markPlaced(0);
        numbers.markRemoved(0, false);
        assertEquals(3, numbers.unconfirmedCount());
        assertEquals(0, numbers.firstFreedTask());
    }

    @Test
    void doneTaskIsCountedOnceAndNeverFreeAgain() {
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
    void doneTaskIsNoLongerUnconfirmed() {
        numbers.markDone(3);
        assertEquals(3, numbers.unconfirmedCount());
    }

    /** Leaders ran out of memory when they kept each claimed task of many wide jobs as an entry of its own. */
    @Test
    void claimsOfPreviousLeaderNeedNoMemoryPerTask() {
        allocatedByTakeover(10);
        long allocatedBytes = allocatedByTakeover(MAX_TASKS);
        assertTrue(allocatedBytes <= MAX_BYTES_PER_JOB, allocatedBytes + " bytes for one job");
    }

    /** Returns how many bytes are allocated to take over a job of which all tasks are claimed, and to free them. */
    private static long allocatedByTakeover(int tasks) {
        var threads = (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
        long before = threads.getCurrentThreadAllocatedBytes();
        TaskNumbers takenOver = new TaskNumbers(tasks, TreeRangeSet.create());
        takenOver.resolveUnconfirmed();
        assertEquals(tasks, takenOver.freedCount());
        return threads.getCurrentThreadAllocatedBytes() - before;
    }

    @Test
    void markAllDoneClearsFreedAndUnconfirmedTasks() {
        numbers.markPlaced(0);
        numbers.markRemoved(0, false);
        numbers.markAllDone(10);
        assertEquals(10, numbers.doneCount());
        assertTrue(numbers.isDone(9));
        assertEquals(0, numbers.unconfirmedCount());
        assertFalse(numbers.hasStartableTask());
    }
}
