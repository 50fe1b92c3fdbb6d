package org.granitepath.coordination.admission;

import static org.granitepath.coordination.admission.AdmissionFixture.JOB_ID;
import static org.granitepath.coordination.admission.AdmissionFixture.SECOND_MICROS;
import static org.granitepath.coordination.admission.AdmissionFixture.SPEC;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.granitepath.coordination.ports.JobResponse;
import org.granitepath.coordination.ports.JobResponse.JobState;
import org.granitepath.storage.FinalRecord;
import org.granitepath.storage.JobRecord;
import org.junit.jupiter.api.Test;

/**
 * Each accepted job is recorded once, with a first block of tasks claimed for the leader. All submitters are answered
 * afterwards.
 */
class SubmissionWriterTest {
    private static final long FENCING_TOKEN = 7;
    private static final JobResponse CREATED = new JobResponse.Status(true, JOB_ID, JobState.PENDING, 0, 0);

    private final AdmissionFixture fixture = new AdmissionFixture();
    private final SubmissionWriter submissions = new SubmissionWriter(
            fixture.config.tuning(),
            fixture.replica,
            fixture.jobIndex,
            fixture.answers,
            fixture.timers,
            fixture.writeQueue,
            fixture.waitingRequests);
    private final List<JobResponse> answers = new ArrayList<>();

    private JobRecord jobRecord() {
        return fixture.jobIndex.openJob(JOB_ID);
    }

    @Test
    void theSubmitterIsAnsweredOnceTheJobIsOnRecord() {
        fixture.readRecords();
        submissions.record(SPEC, answers::add);
        assertTrue(answers.isEmpty(), "not on record yet");
        fixture.timers.advance(SECOND_MICROS);
        assertEquals(List.of(CREATED), answers);
        assertEquals(SPEC, jobRecord().spec());
    }

    @Test
    void theRecordClaimsAFirstBlockOfTasksForTheLeader() {
        fixture.writeLeader(FENCING_TOKEN);
        fixture.readRecords();
        submissions.record(SPEC, answers::add);
        fixture.timers.advance(SECOND_MICROS);
        assertEquals(FENCING_TOKEN, jobRecord().fencingToken());
        assertEquals(
                fixture.config.tuning().firstClaimBlockSize(SPEC), jobRecord().claimedTasks());
    }

    @Test
    void noTasksAreClaimedWithoutALeaderOnRecord() {
        fixture.readRecords();
        submissions.record(SPEC, answers::add);
        fixture.timers.advance(SECOND_MICROS);
        assertEquals(0, jobRecord().claimedTasks());
    }

    @Test
    void tasksAreClaimedForTheNewLeaderIfTheLeaderWasReplaced() {
        fixture.writeLeader(FENCING_TOKEN);
        fixture.readRecords();
        fixture.writeLeader(FENCING_TOKEN + 1);
        submissions.record(SPEC, answers::add);
        fixture.timers.advance(SECOND_MICROS);
        assertEquals(FENCING_TOKEN + 1, jobRecord().fencingToken());
    }

    @Test
    void aRepeatedSubmissionGetsTheSameAnswer() {
        fixture.readRecords();
        submissions.record(SPEC, answers::add);
        submissions.record(SPEC, answers::add);
        fixture.timers.advance(SECOND_MICROS);
        assertEquals(List.of(CREATED, CREATED), answers);
    }

    @Test
    void aJobThatHasEndedBeforeTheWriteIsNotWrittenAgain() {
        fixture.readRecords();
        fixture.writeJob();
        fixture.writeOutcome(FinalRecord.Outcome.DONE);
        submissions.record(SPEC, answers::add);
        fixture.timers.advance(SECOND_MICROS);
        assertEquals(List.of(new JobResponse.Status(false, JOB_ID, JobState.DONE, 0, 0)), answers);
    }
}
