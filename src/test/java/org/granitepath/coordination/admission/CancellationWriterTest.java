package org.granitepath.coordination.admission;

import static org.granitepath.coordination.admission.AdmissionFixture.JOB_ID;
import static org.granitepath.coordination.admission.AdmissionFixture.SECOND_MICROS;
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

/** A cancellation is recorded first and then announced to the leader; the user is answered last. */
class CancellationWriterTest {
    private static final JobResponse CANCELLED = new JobResponse.Status(false, JOB_ID, JobState.CANCELLED, 0, 0);

    private final AdmissionFixture fixture = new AdmissionFixture();
    private final List<CancellationNotice> notices = new ArrayList<>();
    private final List<Runnable> confirmations = new ArrayList<>();
    private final List<JobResponse> answers = new ArrayList<>();
    private final CancellationWriter cancellations = new CancellationWriter(
            fixture.replica,
            fixture.jobIndex,
            fixture.answers,
            fixture.timers,
            fixture.writeQueue,
            fixture.waitingRequests,
            (notice, onConfirmed) -> {
                notices.add(notice);
                confirmations.add(onConfirmed);
            });

    @BeforeEach
    void recordTheJob() {
        fixture.writeJob();
        fixture.readRecords();
    }

    private void cancelAndWait() {
        cancellations.record(JOB_ID, answers::add);
        fixture.timers.advance(SECOND_MICROS);
    }

    @Test
    void aCancellationIsAnnouncedWithTheRevisionOfItsRecord() {
        cancelAndWait();
        assertEquals(FinalRecord.Outcome.CANCELLED, fixture.jobIndex.outcomeOf(JOB_ID));
        assertEquals(
                List.of(new CancellationNotice(JOB_ID, fixture.replica.revision(Keys.finalRecordKey(JOB_ID)))),
                notices);
    }

    @Test
    void theUserIsAnsweredOnceTheAnnouncementIsConfirmed() {
        cancelAndWait();
        assertTrue(cancellations.isBeingConfirmed(JOB_ID));
        assertEquals(List.of(), answers);
        confirmations.get(0).run();
        assertFalse(cancellations.isBeingConfirmed(JOB_ID));
        assertEquals(List.of(CANCELLED), answers);
    }

    @Test
    void repeatedRequestsGetTheSameAnswer() {
        cancelAndWait();
        cancellations.joinConfirmation(JOB_ID, answers::add);
        cancellations.record(JOB_ID, answers::add);
        assertEquals(1, confirmations.size());
        confirmations.get(0).run();
        assertEquals(List.of(CANCELLED, CANCELLED, CANCELLED), answers);
    }

    @Test
    void aJobThatIsDoneBeforeTheWriteIsNotCancelled() {
        fixture.writeOutcome(FinalRecord.Outcome.DONE);
        cancelAndWait();
        assertEquals(List.of(), notices);
        assertEquals(List.of(new JobResponse.Status(false, JOB_ID, JobState.DONE, 0, 0)), answers);
    }

    @Test
    void withoutConfirmationTheUserIsToldToRetry() {
        cancelAndWait();
        fixture.timers.advance(4 * SECOND_MICROS);
        assertEquals(List.of(JobAnswers.retryLater("not on record yet")), answers);
        assertFalse(cancellations.isBeingConfirmed(JOB_ID));
    }
}
