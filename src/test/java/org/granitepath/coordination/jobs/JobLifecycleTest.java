package org.granitepath.coordination.jobs;

import static org.granitepath.coordination.jobs.JobsFixture.BATCH;
import static org.granitepath.coordination.jobs.JobsFixture.LIVE_SERVICE;
import static org.granitepath.coordination.jobs.JobsFixture.SECOND;
import static org.granitepath.coordination.jobs.JobsFixture.TOKEN;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;

import com.google.common.collect.TreeRangeSet;
import java.util.Map;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Placement;
import org.granitepath.storage.FinalRecord;
import org.granitepath.storage.JobRecord;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.Keys;
import org.granitepath.storage.ProgressRecord;
import org.granitepath.storage.UnknownRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests how a term opens recorded jobs, follows their records and records their completion. */
class JobLifecycleTest {
    private static final String JOB = BATCH.id();

    private final JobsFixture fixture = new JobsFixture();
    private final JobLifecycle lifecycle = fixture.lifecycle;

    private void recordAccepted(JobSpec spec, int claimed, long term) {
        fixture.jobIndex.applyRecord(Keys.jobKey(spec.id()), new JobRecord(spec, 0, claimed, term));
    }

    private void recordProgress(int claimed, int doneTasks) {
        var done = TreeRangeSet.<Integer>create();
        ProgressRecord.addTasksBelow(done, doneTasks);
        fixture.jobIndex.applyRecord(Keys.progressKey(JOB), new ProgressRecord("c1", claimed, done, 0));
    }

    private void recordEnded(FinalRecord.Outcome outcome) {
        fixture.jobIndex.applyRecord(Keys.finalRecordKey(JOB), new FinalRecord(outcome));
    }

    private ActiveJob job() {
        return fixture.jobs.get(JOB);
    }

    /** The fixture's term has fencing token 3. */
    @ParameterizedTest
    @CsvSource({
        "2, true, 4",
        "2, false, 0", // no awaited machine may hold them
        "3, true, 0", // claimed for this term, so no previous leader has started them
    })
    void tasksClaimedByEarlierTermAreUnconfirmedWhileMachineIsAwaited(long term, boolean awaited, int unconfirmed) {
        if (awaited) {
            fixture.addAwaitedMachine();
        }
        recordAccepted(BATCH, 4, term);
        lifecycle.start();
        assertEquals(unconfirmed, job().unconfirmedTasks());
    }

    @Test
    void jobClaimedBySuccessorIsNotOpened() {
        recordAccepted(BATCH, 4, TOKEN + 1);
        lifecycle.start();
        assertNull(job());
    }

    @Test
    void jobWithUnreadableRecordIsNotOpened() {
        recordAccepted(BATCH, 4, TOKEN);
        fixture.jobIndex.applyRecord(Keys.progressKey(JOB), new UnknownRecord(Map.of()));
        lifecycle.start();
        assertNull(job());
    }

    @Test
    void jobAcceptedDuringTermIsOpenedAndCountsAsArrival() {
        lifecycle.start();
        recordAccepted(LIVE_SERVICE, 4, TOKEN);
        assertNotNull(job());
        assertSame(job(), fixture.arrivalRate.newestJob());
    }

    @Test
    void jobRecordedBeforeTermDoesNotCountAsArrival() {
        recordAccepted(LIVE_SERVICE, 4, TOKEN);
        lifecycle.start();
        assertNull(fixture.arrivalRate.newestJob());
    }

    @Test
    void jobWithAllTasksDoneIsRecordedAsDone() {
        fixture.replica.start();
        fixture.timers.advance(SECOND);
        recordAccepted(BATCH, 4, TOKEN);
        recordProgress(BATCH.tasks(), BATCH.tasks());
        lifecycle.start();
        assertEquals(ActiveJob.Phase.COMPLETING, job().phase());
        fixture.timers.advance(SECOND);
        assertEquals(FinalRecord.Outcome.DONE, fixture.jobIndex.outcomeOf(JOB));
        assertNull(job(), "none of its tasks is on a machine");
    }

    @Test
    void cancelledJobIsKeptUntilItsTasksAreGone() {
        recordAccepted(BATCH, 4, TOKEN);
        lifecycle.start();
        Placement placement = fixture.startAndSend(job(), fixture.machine("i-1"));
        recordEnded(FinalRecord.Outcome.CANCELLED);
        assertEquals(Placement.Phase.STOPPING, placement.phase());
        assertFalse(job().isOpen());
        fixture.tasks.free(placement, "test");
        assertNull(job());
    }

    @ParameterizedTest
    @CsvSource({"6, 6", "2, 4"})
    void recordedClaimOnlyGrows(int recorded, int expected) {
        recordAccepted(BATCH, 4, TOKEN);
        lifecycle.start();
        recordProgress(recorded, 0);
        assertEquals(expected, job().claimedTasks());
    }

    /** Each change of leader claimed another block of every open job, though all tasks of the last one were free. */
    @Test
    void inheritedBlockIsStartedBeforeAnotherIsClaimed() {
        recordAccepted(BATCH, 6, TOKEN - 1);
        lifecycle.start();
        lifecycle.claimNextBlock(job());
        assertEquals(6, job().requestedClaim(), "a block of six tasks is free");
        job().takeTask();
        lifecycle.claimNextBlock(job());
        assertEquals(10, job().requestedClaim());
    }

    @Test
    void recordsAreNotFollowedAfterEndOfTerm() {
        lifecycle.start();
        lifecycle.end();
        recordAccepted(BATCH, 4, TOKEN);
        assertNull(job());
    }
}
