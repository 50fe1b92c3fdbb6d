package org.granitepath.coordination.admission;

import static org.granitepath.coordination.admission.AdmissionFixture.JOB;
import static org.granitepath.coordination.admission.AdmissionFixture.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.granitepath.coordination.ports.JobResponse;
import org.granitepath.coordination.ports.JobResponse.JobState;
import org.granitepath.coordination.ports.PeerPort.CancellationNotice;
import org.granitepath.storage.FinalRecord;
import org.granitepath.storage.Keys;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A cancellation goes on record, then to the leader, and only then is the user answered. */
class CancellationWriterTest {
    private static final JobResponse CANCELLED = new JobResponse.Status(false, JOB, JobState.CANCELLED, 0, 0);

    private final AdmissionFixture fixture = new AdmissionFixture();
    private final List<CancellationNotice> notices = new ArrayList<>();
    private final List<Runnable> announced = new ArrayList<>();
    private final List<JobResponse> answers = new ArrayList<>();
    private final CancellationWriter cancellations = new CancellationWriter(
            fixture.replica,
            fixture.jobIndex,
            fixture.answers,
            fixture.timers,
            fixture.writeQueue,
            fixture.waitingRequests,
            (notice, then) -> {
                notices.add(notice);
                announced.add(then);
            });

    @BeforeEach
    void openTheJob() {
        fixture.putJob();
        fixture.readRecords();
    }

    private void cancelAndWait() {
        cancellations.record(JOB, answers::add);
        fixture.timers.advance(SECOND);
    }

    @Test
    void aCancellationIsAnnouncedWithTheRevisionOfItsRecord() {
        cancelAndWait();
        assertEquals(FinalRecord.Outcome.CANCELLED, fixture.jobIndex.outcomeOf(JOB));
        assertEquals(List.of(new CancellationNotice(JOB, fixture.replica.revision(Keys.finalRecord(JOB)))), notices);
    }

    @Test
    void theUserIsAnsweredOnceTheLeaderIsTold() {
        cancelAndWait();
        assertTrue(cancellations.isBeingConfirmed(JOB));
        assertEquals(List.of(), answers);
        announced.get(0).run();
        assertFalse(cancellations.isBeingConfirmed(JOB));
        assertEquals(List.of(CANCELLED), answers);
    }

    @Test
    void repeatedRequestsAreAnsweredTogether() {
        cancelAndWait();
        cancellations.joinConfirmation(JOB, answers::add);
        cancellations.record(JOB, answers::add);
        assertEquals(1, announced.size());
        announced.get(0).run();
        assertEquals(List.of(CANCELLED, CANCELLED, CANCELLED), answers);
    }

    @Test
    void aJobThatIsDoneMeanwhileIsNotCancelled() {
        fixture.putEnd(FinalRecord.Outcome.DONE);
        cancelAndWait();
        assertEquals(List.of(), notices);
        assertEquals(List.of(new JobResponse.Status(false, JOB, JobState.DONE, 0, 0)), answers);
    }

    @Test
    void whileTheLeaderCannotBeToldTheUserIsAskedToComeAgain() {
        cancelAndWait();
        fixture.timers.advance(4 * SECOND);
        assertEquals(List.of(JobAnswers.retryLater("not on record yet")), answers);
        assertFalse(cancellations.isBeingConfirmed(JOB));
    }
}
