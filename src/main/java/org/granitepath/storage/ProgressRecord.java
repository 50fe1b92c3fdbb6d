package org.granitepath.storage;

import com.google.common.collect.DiscreteDomain;
import com.google.common.collect.ImmutableRangeSet;
import com.google.common.collect.Range;
import com.google.common.collect.RangeSet;
import com.google.common.collect.TreeRangeSet;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * How far a job has come: task numbers below {@code claimed} belong to {@code leader}, which alone may start them;
 * finished tasks are kept as ranges, so that 100,000 of them stay small; {@code running} is the published count.
 */
public record ProgressRecord(@Nullable String leader, int claimedTasks, RangeSet<Integer> doneTasks, int runningTasks)
        implements StoredRecord {
    /** Keeps a copy of the finished tasks: the leader goes on adding to its own. */
    public ProgressRecord {
        doneTasks = ImmutableRangeSet.copyOf(doneTasks);
    }

    /**
     * This record, if need be with fewer finished tasks, so that it takes at most so many bytes. The ranges that hold
     * the most tasks stay. What is left out would only be started again and be found complete.
     */
    public ProgressRecord truncatedTo(int bytes) {
        int spare = bytes - RecordSize.of(this);
        if (spare >= 0) {
            return this;
        }
        List<Range<Integer>> largestFirst = new ArrayList<>(doneTasks.asRanges());
        largestFirst.sort(Comparator.comparingInt(range -> range.lowerEndpoint() - range.upperEndpoint()));
        RangeSet<Integer> kept = TreeRangeSet.create(doneTasks);
        for (int i = largestFirst.size() - 1; i >= 0 && spare < 0; i--) {
            Range<Integer> range = largestFirst.get(i);
            kept.remove(range);
            spare += RecordSize.ofValue(range.lowerEndpoint()) + RecordSize.ofValue(range.upperEndpoint()) + 2;
        }
        return new ProgressRecord(leader, claimedTasks, kept, runningTasks);
    }

    /** Of a job of which nothing is on record yet. */
    public static ProgressRecord empty() {
        return new ProgressRecord("", 0, TreeRangeSet.create(), 0);
    }

    /** Adds one task number to a set of ranges. */
    public static void addTask(RangeSet<Integer> set, int task) {
        set.add(Range.closedOpen(task, task + 1));
    }

    /** Adds all task numbers below {@code count}. */
    public static void addTasksBelow(RangeSet<Integer> set, int count) {
        set.add(Range.closedOpen(0, count));
    }

    /** How many task numbers a set of ranges holds. */
    public static int count(RangeSet<Integer> set) {
        int count = 0;
        for (Range<Integer> range : set.asRanges()) {
            Range<Integer> canonical = range.canonical(DiscreteDomain.integers());
            count += canonical.upperEndpoint() - canonical.lowerEndpoint();
        }
        return count;
    }
}
