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
 * The progress of a job.
 *
 * @param leader the controller that the claimed tasks belong to, which alone may start them
 * @param claimedTasks tasks with numbers below this one belong to {@code leader}
 * @param doneTasks the numbers of the finished tasks, as ranges, so that 100,000 finished tasks take little space
 * @param runningTasks the number of running tasks to report to users
 */
public record ProgressRecord(@Nullable String leader, int claimedTasks, RangeSet<Integer> doneTasks, int runningTasks)
        implements StoredRecord {
    /** Copies the set of finished tasks, because the leader goes on adding to its own. */
    public ProgressRecord {
        doneTasks = ImmutableRangeSet.copyOf(doneTasks);
    }

    /**
     * Returns this record, if necessary with fewer finished tasks so that it takes at most {@code maxBytes} bytes. The
     * ranges with the most tasks are kept. A finished task that is left out does no harm: it is started again and then
     * found to be complete.
     */
    public ProgressRecord truncatedTo(int maxBytes) {
        int spare = maxBytes - RecordSize.of(this);
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

    /** Returns the progress of a job without a progress record: no task is claimed, finished or running. */
    public static ProgressRecord empty() {
        return new ProgressRecord("", 0, TreeRangeSet.create(), 0);
    }

    /** Adds one task number to a set of ranges. */
    public static void addTask(RangeSet<Integer> set, int task) {
        set.add(Range.closedOpen(task, task + 1));
    }

    /** Adds all task numbers below {@code count} to a set of ranges. */
    public static void addTasksBelow(RangeSet<Integer> set, int count) {
        set.add(Range.closedOpen(0, count));
    }

    /** Returns how many task numbers a set of ranges contains. */
    public static int count(RangeSet<Integer> set) {
        int count = 0;
        for (Range<Integer> range : set.asRanges()) {
            Range<Integer> canonical = range.canonical(DiscreteDomain.integers());
            count += canonical.upperEndpoint() - canonical.lowerEndpoint();
        }
        return count;
    }
}
