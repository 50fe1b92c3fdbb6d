package org.granitepath.simulation;

import static org.granitepath.simulation.RulesFixture.ANYWHERE;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.granitepath.coordination.ports.JobResponse.JobState;
import org.junit.jupiter.api.Test;

/** Tests that {@link WaitingRules} reports a job that waits although capacity is free. */
class WaitingRulesTest {
    private final RulesFixture fixture = new RulesFixture();

    @Test
    void jobWaitingDespiteFreeCapacityIsReported() {
        SimWorker worker = fixture.worker();
        fixture.deliverStatus(ANYWHERE, JobState.PENDING);
        checkEachSecond(0, 89, worker);
        fixture.assertNoViolations();
        fixture.runUntil(91_000_000);
        fixture.rules().checkNotStarved(List.of());
        assertTrue(fixture.rules().violations().isEmpty(), "no machine is available");

        checkEachSecond(92, 183, worker);

        fixture.assertViolation("neglected");
    }

    private void checkEachSecond(long from, long to, SimWorker worker) {
        for (long at = from; at <= to; at++) {
            fixture.runUntil(at * 1_000_000);
            fixture.rules().checkNotStarved(List.of(worker));
        }
    }
}
