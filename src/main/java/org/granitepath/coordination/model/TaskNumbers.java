package org.granitepath.coordination.model;

import com.google.common.collect.RangeSet;
import com.google.common.collect.TreeRangeSet;
import it.unimi.dsi.fastutil.ints.IntAVLTreeSet;
import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import org.granitepath.storage.ProgressRecord;

/**
 * Which task numbers of a job are done, which may start, and which are unconfirmed. A number may start when it is
 * claimed, not done, not placed, and proved to be on no machine. Where tasks are placed is not known here.
 */
final class TaskNumbers {
    private final RangeSet<Integer> doneTasks;
    /** Started before, and free again. */
    private final IntAVLTreeSet freed = new IntAVLTreeSet();
    /** Claimed by a predecessor; may be running on a machine still awaited. */
    private final IntOpenHashSet unconfirmed = new IntOpenHashSet();

    private int doneCount;
    private int claimedTasks;
    private int requestedClaim;
    private int firstUnstartedTask;

    /** The numbers as the records tell; every claimed one that is not done is unconfirmed. */
    TaskNumbers(int claimed, RangeSet<Integer> doneOnRecord) {
        this.doneTasks = TreeRangeSet.create(doneOnRecord);
        this.doneCount = ProgressRecord.count(doneTasks);
        this.claimedTasks = claimed;
        this.requestedClaim = claimed;
        this.firstUnstartedTask = claimed;
        for (int task = 0; task < claimed; task++) {
            if (!doneTasks.contains(task)) {
                unconfirmed.add(task);
            }
        }
    }

    // ---- done --------------------------------------------------------------------------------------------------

    /** The done ones, as ranges. */
    RangeSet<Integer> doneTasks() {
        return doneTasks;
    }

    int doneCount() {
        return doneCount;
    }

    boolean isDone(int task) {
        return doneTasks.contains(task);
    }

    /** This one is done, so it never starts again. */
    void markDone(int task) {
        if (!doneTasks.contains(task)) {
            ProgressRecord.addTask(doneTasks, task);
            doneCount++;
        }
        freed.remove(task);
        unconfirmed.remove(task);
    }

    /** All numbers below this are done, and there are no others. */
    void markAllDone(int tasks) {
        ProgressRecord.addTasks(doneTasks, tasks);
        doneCount = tasks;
        freed.clear();
        unconfirmed.clear();
    }

    // ---- claims ------------------------------------------------------------------------------------------------

    /** Numbers below this are claimed on record. */
    int claimedTasks() {
        return claimedTasks;
    }

    /** A larger claim is on record. */
    void confirmClaim(int tasks) {
        claimedTasks = tasks;
    }

    /** The claim that was asked for last, on record or not. */
    int requestedClaim() {
        return requestedClaim;
    }

    /** A claim of this many numbers is to be recorded. */
    void requestClaim(int tasks) {
        requestedClaim = tasks;
    }

    // ---- starting ----------------------------------------------------------------------------------------------

    /** Numbers at or above this were never handed out. */
    int firstUnstartedTask() {
        return firstUnstartedTask;
    }

    /** Whether any could start without a further claim. */
    boolean hasStartableTask() {
        return !freed.isEmpty() || firstUnstartedTask < claimedTasks;
    }

    /** Takes the next one to start: the lowest that is free again, or else the first that was never started. */
    int take() {
        if (!freed.isEmpty()) {
            int task = freed.firstInt();
            freed.remove(task);
            return task;
        }
        return firstUnstartedTask++;
    }

    /** Takes this one, which is free again. */
    void take(int task) {
        freed.remove(task);
    }

    /** The lowest one that is free again; there must be one. */
    int firstFreedTask() {
        return freed.firstInt();
    }

    /** This one is placed, so it is known where it is. */
    void markPlaced(int task) {
        unconfirmed.remove(task);
        freed.remove(task);
    }

    /** The placement of this one is proved gone; {@code elsewhere}: but it may be on another machine. */
    void markRemoved(int task, boolean elsewhere) {
        if (doneTasks.contains(task)) {
            return;
        }
        if (elsewhere) {
            unconfirmed.add(task);
        } else {
            freed.add(task);
        }
    }

    // ---- unconfirmed -------------------------------------------------------------------------------------------

    /** How many may run on machines still awaited. */
    int unconfirmedCount() {
        return unconfirmed.size();
    }

    /** None of the unconfirmed ones is on any machine: they are free again. */
    void resolveUnconfirmed() {
        freed.addAll(unconfirmed);
        unconfirmed.clear();
    }
}
