package org.granitepath.coordination.jobs;

import static org.granitepath.coordination.model.Fixtures.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Fixtures;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.junit.jupiter.api.Test;

/** Tests whether a failed task is blamed on its machine or on its job. */
class FaultTrackerTest {
    private static final long FAILED_MICROS = 10 * SECOND;

    private final FaultTracker faults = new FaultTracker();
    private final Machine first = Fixtures.machine("i-1", "north");
    private final Machine second = Fixtures.machine("i-2", "north");
    private final Machine third = Fixtures.machine("i-3", "north");
    private final ActiveJob job = Fixtures.job();
    private final ActiveJob other = Fixtures.job();

    @Test
    void failureMakesMachineSuspect() {
        assertTrue(faults.canTry(first, job, FAILED_MICROS));
        assertEquals(List.of(), faults.recordFailure(first, job, FAILED_MICROS));
        assertTrue(faults.isSuspect(first));
        assertFalse(faults.canTry(first, job, FAILED_MICROS), "a job is not tried again on a machine where it failed");
        assertTrue(faults.canTry(first, other, FAILED_MICROS));
        assertTrue(faults.canTry(second, job, FAILED_MICROS));
    }

    @Test
    void suspectGetsOneTaskAtATime() {
        faults.recordFailure(first, job, FAILED_MICROS);
        first.add(started(other, first, FAILED_MICROS + SECOND));
        assertFalse(faults.canTry(first, other, FAILED_MICROS + 2 * SECOND));
    }

    @Test
    void failureOfSecondJobMakesMachineFaulty() {
        faults.recordFailure(first, job, FAILED_MICROS);
        assertEquals(List.of(first), faults.recordFailure(first, other, FAILED_MICROS + SECOND));
        assertFalse(faults.canTry(first, Fixtures.job(), FAILED_MICROS + SECOND));
        assertEquals(
                List.of(),
                faults.recordFailure(first, Fixtures.job(), FAILED_MICROS + 2 * SECOND),
                "reported only once");
    }

    @Test
    void jobThatFailsOnThreeMachinesIsSuspect() {
        faults.recordFailure(first, job, FAILED_MICROS);
        faults.recordFailure(second, job, FAILED_MICROS);
        assertTrue(faults.canStartAnother(job));
        faults.recordFailure(third, job, FAILED_MICROS);
        assertFalse(faults.isSuspect(third), "a suspect job makes no further machine a suspect");
        assertTrue(faults.canStartAnother(job), "none of its tasks is placed");
        job.addPlacement(started(job, Fixtures.machine("i-4", "north"), FAILED_MICROS + SECOND));
        assertFalse(faults.canStartAnother(job));
    }

    @Test
    void unprovenJobIsRetriedAtGrowingIntervals() {
        faults.recordFailure(first, job, FAILED_MICROS);
        assertEquals(FAILED_MICROS + SECOND / 2, job.scheduling().notBeforeMicros());
        faults.recordFailure(second, job, FAILED_MICROS);
        assertEquals(FAILED_MICROS + SECOND, job.scheduling().notBeforeMicros());
    }

    @Test
    void taskStartedAfterFailureClearsMachine() {
        faults.recordFailure(first, job, FAILED_MICROS);
        Placement before = started(other, first, FAILED_MICROS - SECOND);
        faults.recordSuccess(before, FAILED_MICROS + SECOND);
        assertTrue(faults.isSuspect(first), "it started before the failure");
        Placement after = started(other, first, FAILED_MICROS + SECOND);
        assertTrue(faults.isUnderObservation(after));
        faults.recordSuccess(after, FAILED_MICROS + 6 * SECOND);
        assertFalse(faults.isSuspect(first));
        assertFalse(faults.isUnderObservation(after));
    }

    @Test
    void faultyMachineIsNotClearedDuringItsQuarantine() {
        faults.recordFailure(first, job, FAILED_MICROS);
        faults.recordFailure(first, other, FAILED_MICROS);
        faults.recordSuccess(started(Fixtures.job(), first, FAILED_MICROS + SECOND), FAILED_MICROS + 6 * SECOND);
        assertTrue(faults.isSuspect(first));
    }

    /** A faulty machine that held services was banned until the next change of leader, though it worked again. */
    @Test
    void quarantineEndsAfterGrowingTimes() {
        makeFaulty();
        long nowMicros = FAILED_MICROS;
        for (long quarantineSeconds : List.of(15L, 30L, 60L, 60L)) {
            assertFalse(faults.endQuarantineIfDue(first, nowMicros + quarantineSeconds * SECOND - 1));
            nowMicros += quarantineSeconds * SECOND;
            assertFalse(faults.canTry(first, Fixtures.job(), nowMicros));
            assertTrue(faults.endQuarantineIfDue(first, nowMicros));
            assertTrue(faults.canTry(first, Fixtures.job(), nowMicros));
            assertEquals(
                    List.of(first),
                    faults.recordFailure(first, Fixtures.job(), nowMicros),
                    "one failure is enough on probation");
        }
    }

    @Test
    void jobThatFailedOnMachineIsTriedThereAfterOtherJobs() {
        makeFaulty();
        long endMicros = endFirstQuarantine();
        assertFalse(faults.canTry(first, job, endMicros + 5 * SECOND - 1));
        assertEquals(Set.of(first), faults.machinesExcludedFor(job, endMicros + 5 * SECOND - 1));
        assertTrue(faults.canTry(first, job, endMicros + 5 * SECOND));
        assertEquals(Set.of(), faults.machinesExcludedFor(job, endMicros + 5 * SECOND));
    }

    @Test
    void machineOnProbationGetsOneTaskAtATimeUntilOneSucceeds() {
        makeFaulty();
        long endMicros = endFirstQuarantine();
        Placement trial = started(other, first, endMicros);
        first.add(trial);
        assertFalse(faults.canTry(first, Fixtures.job(), endMicros + SECOND));
        faults.recordSuccess(trial, endMicros + 5 * SECOND);
        assertFalse(faults.isSuspect(first));
        assertTrue(faults.canTry(first, job, endMicros + 5 * SECOND));
    }

    @Test
    void failuresOnMachineThatIsClearedCountAgainstTheirJobs() {
        makeFaulty();
        ActiveJob sound = Fixtures.job();
        faults.recordSuccess(started(sound, first, endFirstQuarantine()), FAILED_MICROS + 30 * SECOND);
        faults.recordFailure(second, job, FAILED_MICROS + 31 * SECOND);
        faults.recordFailure(third, job, FAILED_MICROS + 32 * SECOND);
        assertFalse(faults.isSuspect(third), "the job has failed on three machines, none of which is faulty");
    }

    private void makeFaulty() {
        faults.recordFailure(first, job, FAILED_MICROS);
        faults.recordFailure(first, other, FAILED_MICROS);
    }

    private long endFirstQuarantine() {
        long endMicros = FAILED_MICROS + 15 * SECOND;
        assertTrue(faults.endQuarantineIfDue(first, endMicros));
        return endMicros;
    }

    @Test
    void successOfJobBlamesItsFailuresOnMachines() {
        faults.recordFailure(first, job, FAILED_MICROS);
        faults.recordFailure(second, job, FAILED_MICROS);
        faults.recordFailure(third, job, FAILED_MICROS);
        faults.recordFailure(third, other, FAILED_MICROS);
        List<Machine> faulty = faults.recordSuccess(
                started(job, Fixtures.machine("i-4", "north"), FAILED_MICROS), FAILED_MICROS + 6 * SECOND);
        assertEquals(List.of(third), faulty, "another job failed there, too");
        assertEquals(
                FAILED_MICROS + 6 * SECOND, job.scheduling().notBeforeMicros(), "the job need not wait any longer");
        assertTrue(faults.canStartAnother(job));
    }

    @Test
    void forgottenJobAndMachineNoLongerCount() {
        faults.recordFailure(first, job, FAILED_MICROS);
        faults.forget(job);
        assertTrue(faults.canTry(first, job, FAILED_MICROS));
        faults.forget(first);
        assertFalse(faults.isSuspect(first));
    }

    private static Placement started(ActiveJob job, Machine machine, long startedMicros) {
        Placement placement = Fixtures.placement(job, 0, machine, 1, startedMicros);
        placement.markRunning(startedMicros);
        return placement;
    }
}
