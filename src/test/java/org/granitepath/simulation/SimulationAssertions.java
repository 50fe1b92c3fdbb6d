package org.granitepath.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;

/** Assertions at the end of every scenario. */
final class SimulationAssertions {
    private static final int MAX_SHOWN = 5;

    private SimulationAssertions() {}

    /**
     * Asserts that no rule is violated, a task ran, no transaction exceeded a limit, and every job was accepted under a
     * precondition on the leader key.
     */
    static void assertRules(Simulation simulation) {
        assertNoViolations(simulation);
        assertTrue(simulation.rules.startedTaskCount() > 0, "nothing ran");
        assertEquals(0, simulation.store.oversizedTransactionCount(), "a transaction or a value exceeded its limit");
        assertEquals(
                0,
                simulation.store.unfencedAcceptanceCount(),
                "a job was accepted without a precondition on the leader key");
    }

    /** Asserts the rules, and that all accepted batch jobs have ended: they must make progress after the last fault. */
    static void assertRulesAndAllDone(Simulation simulation) {
        assertRules(simulation);
        assertEquals(List.of(), simulation.users.unfinishedBatchJobs());
    }

    /** Asserts that no rule is violated. */
    static void assertNoViolations(Simulation simulation) {
        assertEquals(
                List.of(),
                simulation.rules.violations().stream()
                        .distinct()
                        .limit(MAX_SHOWN)
                        .toList());
    }
}
