package org.granitepath.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** The counts of verdicts and of comparisons in a term. */
class VerdictCountsTest {
    private final VerdictCounts counts = new VerdictCounts();

    @Test
    void allCountsAreZeroAtFirst() {
        assertEquals(Map.of(), counts.taskCounts());
        assertEquals(0, counts.comparisonCount());
    }

    @Test
    void tasksWithTheSameVerdictAddUp() {
        counts.add(Verdict.LOST, 2);
        counts.add(Verdict.ADOPTED, 1);
        counts.add(Verdict.LOST, 3);
        assertEquals(Map.of(Verdict.LOST, 5, Verdict.ADOPTED, 1), counts.taskCounts());
    }

    @Test
    void comparisonsAddUp() {
        counts.addComparisons(2);
        counts.addComparisons(3);
        assertEquals(5, counts.comparisonCount());
    }

    @Test
    void theTaskCountsAreACopy() {
        counts.add(Verdict.LOST, 2);
        Map<Verdict, Integer> before = counts.taskCounts();
        counts.add(Verdict.LOST, 1);
        assertEquals(Map.of(Verdict.LOST, 2), before);
    }
}
