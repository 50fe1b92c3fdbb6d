package org.granitepath.coordination.jobs;

import static org.granitepath.coordination.model.Fixtures.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Fixtures;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.junit.jupiter.api.Test;

/** Whose fault a failed task is: its machine's or its job's. */
class FaultTrackerTest {
    private static final long FAILED = 10 * SECOND;

    private final FaultTracker faults = new FaultTracker();
    private final Machine first = Fixtures.machine("i-1", "north");
    private final Machine second = Fixtures.machine("i-2", "north");
    private final Machine third = Fixtures.machine("i-3", "north");
    private final ActiveJob job = Fixtures.job();
    private final ActiveJob other = Fixtures.job();

    @Test
    void aFailureMakesTheMachineASuspect() {
        assertTrue(faults.canTry(first, job));
        assertEquals(List.of(), faults.recordFailure(first, job, FAILED));
        assertTrue(faults.isSuspect(first));
        assertFalse(faults.canTry(first, job), "no job is tried again where it failed");
        assertTrue(faults.canTry(first, other));
        assertTrue(faults.canTry(second, job));
    }

    @Test
    void aSuspectIsOfferedOneTaskAtATime() {
        faults.recordFailure(first, job, FAILED);
        first.add(started(other, first, FAILED + SECOND));
        assertFalse(faults.canTry(first, other));
    }

    @Test
    void aSecondJobThatFailsThereMakesItFaulty() {
        faults.recordFailure(first, job, FAILED);
        assertEquals(List.of(first), faults.recordFailure(first, other, FAILED + SECOND));
        assertFalse(faults.canTry(first, Fixtures.job()));
        assertEquals(List.of(), faults.recordFailure(first, Fixtures.job(), FAILED + 2 * SECOND), "told once");
    }

    @Test
    void aJobThatFailsOnThreeMachinesIsItselfInQuestion() {
        faults.recordFailure(first, job, FAILED);
        faults.recordFailure(second, job, FAILED);
        assertTrue(faults.canStartAnother(job));
        faults.recordFailure(third, job, FAILED);
        assertFalse(faults.isSuspect(third), "it makes no further machine a suspect");
        assertTrue(faults.canStartAnother(job), "nothing of it is placed");
        job.addPlacement(started(job, Fixtures.machine("i-4", "north"), FAILED + SECOND));
        assertFalse(faults.canStartAnother(job));
    }

    @Test
    void aJobWithoutProofIsRetriedLessAndLessOften() {
        faults.recordFailure(first, job, FAILED);
        assertEquals(FAILED + SECOND / 2, job.scheduling().notBeforeMicros());
        faults.recordFailure(second, job, FAILED);
        assertEquals(FAILED + SECOND, job.scheduling().notBeforeMicros());
    }

    @Test
    void aTaskThatStartedAfterTheFailureClearsTheMachine() {
        faults.recordFailure(first, job, FAILED);
        Placement before = started(other, first, FAILED - SECOND);
        faults.recordSuccess(before, FAILED + SECOND);
        assertTrue(faults.isSuspect(first), "it started before the failure");
        Placement after = started(other, first, FAILED + SECOND);
        assertTrue(faults.isUnderObservation(after));
        faults.recordSuccess(after, FAILED + 6 * SECOND);
        assertFalse(faults.isSuspect(first));
        assertFalse(faults.isUnderObservation(after));
    }

    @Test
    void nothingClearsAFaultyMachine() {
        faults.recordFailure(first, job, FAILED);
        faults.recordFailure(first, other, FAILED);
        faults.recordSuccess(started(Fixtures.job(), first, FAILED + SECOND), FAILED + 6 * SECOND);
        assertTrue(faults.isSuspect(first));
    }

    @Test
    void proofOfAJobPutsItsFailuresOnTheMachines() {
        faults.recordFailure(first, job, FAILED);
        faults.recordFailure(second, job, FAILED);
        faults.recordFailure(third, job, FAILED);
        faults.recordFailure(third, other, FAILED);
        List<Machine> faulty =
                faults.recordSuccess(started(job, Fixtures.machine("i-4", "north"), FAILED), FAILED + 6 * SECOND);
        assertEquals(List.of(third), faulty, "where another job failed too");
        assertEquals(FAILED + 6 * SECOND, job.scheduling().notBeforeMicros(), "it need not wait any longer");
        assertTrue(faults.canStartAnother(job));
    }

    @Test
    void whatIsForgottenCountsNoMore() {
        faults.recordFailure(first, job, FAILED);
        faults.forget(job);
        assertTrue(faults.canTry(first, job));
        faults.forget(first);
        assertFalse(faults.isSuspect(first));
    }

    private static Placement started(ActiveJob job, Machine machine, long startedMicros) {
        Placement placement = Fixtures.placement(job, 0, machine, 1, startedMicros);
        placement.markRunning(startedMicros);
        return placement;
    }
}
