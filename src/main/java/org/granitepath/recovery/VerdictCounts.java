package org.granitepath.recovery;

import java.util.EnumMap;
import java.util.Map;

/** Counts the attempts that one term has compared with the records, and the tasks that got each verdict. */
final class VerdictCounts {
    private final Map<Verdict, Integer> taskCounts = new EnumMap<>(Verdict.class);
    private long comparisonCount;

    /** Adds a verdict on this number of tasks. */
    void add(Verdict verdict, int tasks) {
        taskCounts.merge(verdict, tasks, Integer::sum);
    }

    /** Adds this number of attempts that were compared with the records. */
    void addComparisons(int attempts) {
        comparisonCount += attempts;
    }

    /** Returns how many attempts were compared with the records so far. */
    long comparisonCount() {
        return comparisonCount;
    }

    /** Returns how many tasks got each verdict so far, as a copy that leaves out verdicts that no task got. */
    Map<Verdict, Integer> taskCounts() {
        return taskCounts.isEmpty() ? Map.of() : new EnumMap<>(taskCounts);
    }
}
