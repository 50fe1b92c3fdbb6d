package org.granitepath.coordination.model;

import com.google.common.collect.RangeSet;
import com.google.common.collect.TreeRangeSet;
import org.granitepath.storage.ProgressRecord;

/**
 * The numbers of a job's tasks that are done, free to start, or unconfirmed. A task may start if it is claimed, not
 * done, not placed, and proven to be on no machine. This class does not know where tasks are placed.
 */
final class TaskNumbers {
    private final RangeSet<Integer> doneTasks;
    /** Tasks that were started before and are free again. */
    private final TaskNumberSet freed = new TaskNumberSet();
    /** Tasks claimed by a previous leader that may be running on a machine whose first heartbeat is awaited. */
    private final TaskNumberSet unconfirmed = new TaskNumberSet();

    private int doneCount;
    private int claimedTasks;
    private int requestedClaim;
    private int firstUnstartedTask;

    /** Restores the numbers from the records. Every claimed task that is not done is unconfirmed. */
    TaskNumbers(int claimedTasks, RangeSet<Integer> recordedDoneTasks) {
        this.doneTasks = TreeRangeSet.create(recordedDoneTasks);
        this.doneCount = ProgressRecord.count(doneTasks);
        this.claimedTasks = claimedTasks;
        this.requestedClaim = claimedTasks;
        this.firstUnstartedTask = claimedTasks;
        unconfirmed.addTasksBelow(claimedTasks, doneTasks);
    }

    /** Returns the tasks that are done, as ranges. */
    RangeSet<Integer> doneTasks() {
        return doneTasks;
    }

    int doneCount() {
        return doneCount;
    }

    boolean isDone(int task) {
        return doneTasks.contains(task);
    }

    /** Marks a task as done, so it never starts again. */
    void markDone(int task) {
        if (!doneTasks.contains(task)) {
            ProgressRecord.addTask(doneTasks, task);
            doneCount++;
        }
        freed.remove(task);
        unconfirmed.remove(task);
    }

    /** Marks all tasks of a job with this many tasks as done. */
    void markAllDone(int tasks) {
        ProgressRecord.addTasksBelow(doneTasks, tasks);
        doneCount = tasks;
        freed.clear();
        unconfirmed.clear();
    }

    /** Returns how many tasks are claimed in the store. They are the ones with the lowest numbers. */
    int claimedTasks() {
        return claimedTasks;
    }

    /** Notes that a larger claim is stored. */
    void confirmClaim(int tasks) {
        claimedTasks = tasks;
    }

    /** Returns the size of the latest requested claim, whether it is stored or not. */
    int requestedClaim() {
        return requestedClaim;
    }

    /** Notes that a claim of this many tasks is to be stored. */
    void requestClaim(int tasks) {
        requestedClaim = tasks;
    }

    /** Returns the lowest number that was never handed out; all higher numbers were not handed out either. */
    int firstUnstartedTask() {
        return firstUnstartedTask;
    }

    /** Returns how many tasks were started before and are free again. */
    int freedCount() {
        return freed.size();
    }

    /** Returns whether a task can be started without a further claim. */
    boolean hasStartableTask() {
        return !freed.isEmpty() || firstUnstartedTask < claimedTasks;
    }

    /** Takes the next task to start: the lowest that is free again, or else the first that was never started. */
    int take() {
        if (!freed.isEmpty()) {
            int task = freed.first();
            freed.remove(task);
            return task;
        }
        return firstUnstartedTask++;
    }

    /** Takes the given task if it is free again. */
    void take(int task) {
        freed.remove(task);
    }

    /** Returns the lowest number that is free again; there must be one. */
    int firstFreedTask() {
        return freed.first();
    }

    /** Notes that a task is placed, so its machine is known. */
    void markPlaced(int task) {
        unconfirmed.remove(task);
        freed.remove(task);
    }

    /**
     * Notes that the placement of a task is proven to be gone.
     *
     * @param maybeElsewhere whether the task may be on another machine, which makes it unconfirmed
     */
    void markRemoved(int task, boolean maybeElsewhere) {
        if (doneTasks.contains(task)) {
            return;
        }
        if (maybeElsewhere) {
            unconfirmed.add(task);
        } else {
            freed.add(task);
        }
    }

    /** Returns the number of tasks that may be running on machines whose first heartbeat is awaited. */
    int unconfirmedCount() {
        return unconfirmed.size();
    }

    /** Frees all unconfirmed tasks, because none of them is on any machine. */
    void resolveUnconfirmed() {
        freed.addAll(unconfirmed);
        unconfirmed.clear();
    }
}
