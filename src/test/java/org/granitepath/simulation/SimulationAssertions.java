package org.granitepath.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;

/** What every scenario has to show at its end. */
final class SimulationAssertions {
    private static final int MAX_SHOWN = 5;

    private SimulationAssertions() {}

    /** No rule is broken, and something ran. */
    static void assertRules(Simulation simulation) {
        assertNoViolations(simulation);
        assertTrue(simulation.rules.startedTaskCount() > 0, "nothing ran");
        assertEquals(0, simulation.store.oversizedTransactionCount(), "a transaction or a value over its limit");
        assertEquals(0, simulation.store.unfencedAcceptanceCount(), "a claim that is not tied to a leader's term");
    }

    /** The same, and all accepted work that can end has ended: it must go on once the troubles are over. */
    static void assertRulesAndAllDone(Simulation simulation) {
        assertRules(simulation);
        assertEquals(List.of(), simulation.users.unfinishedBatchJobs());
    }

    /** No rule is broken. */
    static void assertNoViolations(Simulation simulation) {
        assertEquals(
                List.of(),
                simulation.rules.violations().stream()
                        .distinct()
                        .limit(MAX_SHOWN)
                        .toList());
    }
}
