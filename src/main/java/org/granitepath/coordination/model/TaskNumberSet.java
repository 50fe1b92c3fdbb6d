package org.granitepath.coordination.model;

import com.google.common.collect.Range;
import com.google.common.collect.RangeSet;
import com.google.common.collect.TreeRangeSet;
import org.granitepath.storage.ProgressRecord;

/**
 * A set of task numbers of one job. It is kept as ranges, so its size in memory grows with the number of gaps between
 * the numbers, not with the number of tasks.
 */
final class TaskNumberSet {
    private final RangeSet<Integer> ranges = TreeRangeSet.create();
    private int size;

    boolean isEmpty() {
        return size == 0;
    }

    int size() {
        return size;
    }

    /** Returns the lowest number. Throws {@code NoSuchElementException} if the set is empty. */
    int first() {
        return ranges.span().lowerEndpoint();
    }

    void add(int task) {
        if (!ranges.contains(task)) {
            ProgressRecord.addTask(ranges, task);
            size++;
        }
    }

    /** Adds all numbers below {@code count} that the given ranges do not contain. */
    void addTasksBelow(int count, RangeSet<Integer> excluded) {
        ranges.addAll(excluded.complement().subRangeSet(Range.closedOpen(0, count)));
        size = ProgressRecord.count(ranges);
    }

    void addAll(TaskNumberSet other) {
        ranges.addAll(other.ranges);
        size = ProgressRecord.count(ranges);
    }

    void remove(int task) {
        if (size > 0 && ranges.contains(task)) {
            ranges.remove(Range.closedOpen(task, task + 1));
            size--;
        }
    }

    void clear() {
        ranges.clear();
        size = 0;
    }
}
