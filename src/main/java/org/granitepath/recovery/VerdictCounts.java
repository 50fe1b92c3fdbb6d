package org.granitepath.recovery;

import java.util.EnumMap;
import java.util.Map;

/** How many attempts one term has compared with the records, and how many tasks got each verdict. */
final class VerdictCounts {
    private final Map<Verdict, Integer> tasks = new EnumMap<>(Verdict.class);
    private long comparisons;

    /** This verdict was reached on so many tasks. */
    void add(Verdict verdict, int count) {
        tasks.merge(verdict, count, Integer::sum);
    }

    /** So many attempts were compared with the records. */
    void addComparisons(int attempts) {
        comparisons += attempts;
    }

    /** How many attempts were compared with the records so far. */
    long comparisons() {
        return comparisons;
    }

    /** How many tasks got each verdict so far, verdicts that were never reached aside: a copy. */
    Map<Verdict, Integer> tasks() {
        return tasks.isEmpty() ? Map.of() : new EnumMap<>(tasks);
    }
}
