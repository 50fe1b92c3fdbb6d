package org.granitepath.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Map;
import org.junit.jupiter.api.Test;

/** How verdicts and comparisons of a term add up. */
class VerdictCountsTest {
    private final VerdictCounts counts = new VerdictCounts();

    @Test
    void nothingIsCountedAtFirst() {
        assertEquals(Map.of(), counts.tasks());
        assertEquals(0, counts.comparisons());
    }

    @Test
    void tasksOfOneVerdictAddUp() {
        counts.add(Verdict.LOST, 2);
        counts.add(Verdict.ADOPTED, 1);
        counts.add(Verdict.LOST, 3);
        assertEquals(Map.of(Verdict.LOST, 5, Verdict.ADOPTED, 1), counts.tasks());
    }

    @Test
    void comparisonsAddUp() {
        counts.addComparisons(2);
        counts.addComparisons(3);
        assertEquals(5, counts.comparisons());
    }

    @Test
    void whoAsksGetsACopy() {
        counts.add(Verdict.LOST, 2);
        Map<Verdict, Integer> before = counts.tasks();
        counts.add(Verdict.LOST, 1);
        assertEquals(Map.of(Verdict.LOST, 2), before);
    }
}
