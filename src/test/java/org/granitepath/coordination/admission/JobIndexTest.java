package org.granitepath.coordination.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.granitepath.recovery.RecordedTaskState;
import org.granitepath.storage.FinalRecord;
import org.granitepath.storage.Keys;
import org.granitepath.storage.UnknownRecord;
import org.junit.jupiter.api.Test;

/** What the index knows about a job with an unreadable record. */
class JobIndexTest {
    private static final UnknownRecord UNREADABLE = new UnknownRecord(Map.of());

    private final JobIndex jobIndex = new JobIndex();

    @Test
    void unreadableProgressLeavesTheStatusKnown() {
        jobIndex.applyRecord(Keys.progressKey("a"), UNREADABLE);
        assertTrue(jobIndex.isUnreadable("a"));
        assertFalse(jobIndex.isStatusUnknown("a"));
        assertEquals(RecordedTaskState.UNREADABLE, jobIndex.recordedTaskState("a"));
    }

    @Test
    void theStatusStaysUnknownIfProgressIsUnreadableAfterTheDescription() {
        jobIndex.applyRecord(Keys.jobKey("a"), UNREADABLE);
        jobIndex.applyRecord(Keys.progressKey("a"), UNREADABLE);
        assertTrue(jobIndex.isStatusUnknown("a"));
    }

    @Test
    void theOutcomeOfAJobIsKnownWithoutItsDescription() {
        jobIndex.applyRecord(Keys.jobKey("a"), UNREADABLE);
        jobIndex.applyRecord(Keys.finalRecordKey("a"), new FinalRecord(FinalRecord.Outcome.CANCELLED));
        assertFalse(jobIndex.isStatusUnknown("a"));
        assertTrue(jobIndex.isKnown("a") && jobIndex.hasEnded("a"));
        assertEquals(RecordedTaskState.JOB_CANCELLED, jobIndex.recordedTaskState("a"));
    }

    @Test
    void aJobWithoutRecordsIsNotKnown() {
        assertFalse(jobIndex.isKnown("a") || jobIndex.isUnreadable("a") || jobIndex.isStatusUnknown("a"));
        assertEquals(RecordedTaskState.UNKNOWN_JOB, jobIndex.recordedTaskState("a"));
    }
}
