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

/** Who belongs to the present attempt of a gang, here the one with number 5, and who is stopped with whom. */
class GangMembershipTest {
    private static final long PRESENT = 5;

    private final JobsFixture fixture = new JobsFixture();
    private final ActiveJob job = fixture.openJob(GANG);
    private final GangAttempt attempt = job.beginGangAttempt(PRESENT);
    private final GangMembership gangs = new GangMembership();

    private Placement placed(ActiveJob ofJob, int task, long number) {
        Placement placement = Fixtures.placement(ofJob, task, fixture.machine("i-" + task), number);
        ofJob.addPlacement(placement);
        return placement;
    }

    @Test
    void aTaskThatWasStartedInTheAttemptIsNotStartedAgainOnItsMachine() {
        gangs.addStarted(placed(job, 0, PRESENT));
        assertTrue(attempt.hasBeenTriedOn(0, "i-0"));
    }

    @Test
    void aTaskOfThePresentAttemptThatIsFoundJoinsIt() {
        Placement found = placed(job, 0, PRESENT);
        assertEquals(List.of(), gangs.addAdopted(found));
        assertTrue(attempt.hasBeenTriedOn(0, "i-0"));
    }

    @Test
    void aTaskOfAnOlderAttemptThatIsFoundIsALeftover() {
        Placement found = placed(job, 0, PRESENT - 1);
        assertEquals(List.of(found), gangs.addAdopted(found));
        assertSame(attempt, job.gangAttempt());
    }

    @Test
    void aTaskOfANewerAttemptThatIsFoundMakesTheOthersLeftovers() {
        Placement former = placed(job, 0, PRESENT);
        Placement found = placed(job, 1, PRESENT + 1);
        assertEquals(List.of(former), gangs.addAdopted(found));
        assertEquals(PRESENT + 1, gangs.currentAttemptNumber(job));
    }

    @Test
    void aGangIsStoppedAsAWhole() {
        List<Placement> all = List.of(placed(job, 0, PRESENT), placed(job, 1, PRESENT));
        assertEquals(all, gangs.markStopping(all.get(1), "test"));
        assertEquals(GangAttempt.Phase.STOPPING, attempt.phase());
    }

    @Test
    void aTaskOfAnotherShapeIsStoppedAlone() {
        ActiveJob batch = fixture.openJob(BATCH);
        placed(batch, 0, 1);
        Placement second = placed(batch, 1, 2);
        assertEquals(List.of(second), gangs.markStopping(second, "test"));
    }

    @ParameterizedTest
    @CsvSource({
        "5, true, false, true",
        "5, false, false, false", // another may take its place
        "4, true, false, false", // a leftover
        "5, true, true, false", // it may run on a machine that is not heard yet
    })
    void aRunningGangCannotGoOnWithoutOneOfItsTasks(
            long number, boolean running, boolean maybeElsewhere, boolean stopsOthers) {
        Placement gone = placed(job, 0, number);
        if (running) {
            attempt.markRunning();
        }
        assertEquals(stopsOthers, gangs.removeTask(gone, maybeElsewhere, fixture.timers.nowMicros()));
    }

    @Test
    void anAttemptIsForgottenWithItsLastPlacement() {
        Placement only = placed(job, 0, PRESENT);
        gangs.clearAttemptIfGone(job);
        assertSame(attempt, job.gangAttempt());
        job.removePlacement(only, false);
        gangs.clearAttemptIfGone(job);
        assertNull(job.gangAttempt());
    }
}
