package org.granitepath.coordination.jobs;

import static org.granitepath.coordination.jobs.JobsFixture.BATCH;
import static org.granitepath.coordination.jobs.JobsFixture.GANG;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Fixtures;
import org.granitepath.coordination.model.GangAttempt;
import org.granitepath.coordination.model.Placement;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which tasks belong to the current attempt of a gang, which has number 5, and which are stopped together. */
class GangMembershipTest {
    private static final long CURRENT_ATTEMPT = 5;

    private final JobsFixture fixture = new JobsFixture();
    private final ActiveJob job = fixture.openJob(GANG);
    private final GangAttempt attempt = job.beginGangAttempt(CURRENT_ATTEMPT);
    private final GangMembership gangs = new GangMembership();

    private Placement place(ActiveJob ofJob, int task, long number) {
        Placement placement = Fixtures.placement(ofJob, task, fixture.machine("i-" + task), number);
        ofJob.addPlacement(placement);
        return placement;
    }

    @Test
    void startedTaskIsRememberedWithItsMachine() {
        gangs.addStarted(place(job, 0, CURRENT_ATTEMPT));
        assertTrue(attempt.hasBeenTriedOn(0, "i-0"));
    }

    @Test
    void adoptedTaskOfCurrentAttemptJoinsIt() {
        Placement found = place(job, 0, CURRENT_ATTEMPT);
        assertEquals(List.of(), gangs.addAdopted(found));
        assertTrue(attempt.hasBeenTriedOn(0, "i-0"));
    }

    @Test
    void adoptedTaskOfOlderAttemptIsLeftover() {
        Placement found = place(job, 0, CURRENT_ATTEMPT - 1);
        assertEquals(List.of(found), gangs.addAdopted(found));
        assertSame(attempt, job.gangAttempt());
    }

    @Test
    void adoptedTaskOfNewerAttemptMakesOthersLeftovers() {
        Placement older = place(job, 0, CURRENT_ATTEMPT);
        Placement found = place(job, 1, CURRENT_ATTEMPT + 1);
        assertEquals(List.of(older), gangs.addAdopted(found));
        assertEquals(CURRENT_ATTEMPT + 1, gangs.currentAttemptNumber(job));
    }

    @Test
    void allTasksOfGangAreStoppedTogether() {
        List<Placement> all = List.of(place(job, 0, CURRENT_ATTEMPT), place(job, 1, CURRENT_ATTEMPT));
        assertEquals(all, gangs.markStopping(all.get(1), "test"));
        assertEquals(GangAttempt.Phase.STOPPING, attempt.phase());
    }

    @Test
    void taskOfBatchJobIsStoppedAlone() {
        ActiveJob batch = fixture.openJob(BATCH);
        place(batch, 0, 1);
        Placement second = place(batch, 1, 2);
        assertEquals(List.of(second), gangs.markStopping(second, "test"));
    }

    @ParameterizedTest
    @CsvSource({
        "5, true, false, true",
        "5, false, false, false", // another attempt of the task may replace it
        "4, true, false, false", // a leftover of an older attempt
        "5, true, true, false", // the task may be on a machine whose first heartbeat is awaited
    })
    void runningGangCannotContinueWithoutOneOfItsTasks(
            long number, boolean running, boolean maybeElsewhere, boolean stopsOthers) {
        Placement gone = place(job, 0, number);
        if (running) {
            attempt.markRunning();
        }
        assertEquals(stopsOthers, gangs.removeTask(gone, maybeElsewhere, fixture.timers.nowMicros()));
    }

    @Test
    void attemptIsClearedWithItsLastPlacement() {
        Placement only = place(job, 0, CURRENT_ATTEMPT);
        gangs.clearAttemptIfGone(job);
        assertSame(attempt, job.gangAttempt());
        job.removePlacement(only, false);
        gangs.clearAttemptIfGone(job);
        assertNull(job.gangAttempt());
    }
}
