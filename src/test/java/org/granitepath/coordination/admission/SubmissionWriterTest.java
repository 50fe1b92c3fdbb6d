package org.granitepath.coordination.admission;

import static org.granitepath.coordination.admission.AdmissionFixture.JOB;
import static org.granitepath.coordination.admission.AdmissionFixture.SECOND;
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

/** Accepted jobs go on record once, with a first block for the leader, and then all submitters are answered. */
class SubmissionWriterTest {
    private static final long TOKEN = 7;
    private static final JobResponse CREATED = new JobResponse.Status(true, JOB, JobState.PENDING, 0, 0);

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

    private JobRecord recorded() {
        return fixture.jobIndex.openJob(JOB);
    }

    @Test
    void theSubmitterIsAnsweredOnceTheJobIsOnRecord() {
        fixture.readRecords();
        submissions.record(SPEC, answers::add);
        assertTrue(answers.isEmpty(), "not on record yet");
        fixture.timers.advance(SECOND);
        assertEquals(List.of(CREATED), answers);
        assertEquals(SPEC, recorded().spec());
    }

    @Test
    void theRecordClaimsAFirstBlockForTheLeader() {
        fixture.putLeader(TOKEN);
        fixture.readRecords();
        submissions.record(SPEC, answers::add);
        fixture.timers.advance(SECOND);
        assertEquals(TOKEN, recorded().term());
        assertEquals(
                fixture.config.tuning().firstClaimBlockSize(SPEC), recorded().claimedTasks());
    }

    @Test
    void withoutALeaderOnRecordNothingIsClaimed() {
        fixture.readRecords();
        submissions.record(SPEC, answers::add);
        fixture.timers.advance(SECOND);
        assertEquals(0, recorded().claimedTasks());
    }

    @Test
    void nothingIsClaimedForALeaderThatWasReplacedMeanwhile() {
        fixture.putLeader(TOKEN);
        fixture.readRecords();
        fixture.putLeader(TOKEN + 1);
        submissions.record(SPEC, answers::add);
        fixture.timers.advance(SECOND);
        assertEquals(TOKEN + 1, recorded().term());
    }

    @Test
    void aRepeatedSubmissionGetsTheSameAnswer() {
        fixture.readRecords();
        submissions.record(SPEC, answers::add);
        submissions.record(SPEC, answers::add);
        fixture.timers.advance(SECOND);
        assertEquals(List.of(CREATED, CREATED), answers);
    }

    @Test
    void aJobThatHasEndedMeanwhileIsNotWrittenAgain() {
        fixture.readRecords();
        fixture.putJob();
        fixture.putEnd(FinalRecord.Outcome.DONE);
        submissions.record(SPEC, answers::add);
        fixture.timers.advance(SECOND);
        assertEquals(List.of(new JobResponse.Status(false, JOB, JobState.DONE, 0, 0)), answers);
    }
}
