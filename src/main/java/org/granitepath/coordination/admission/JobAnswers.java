package org.granitepath.coordination.admission;

import org.granitepath.coordination.ports.JobResponse;
import org.granitepath.coordination.ports.JobResponse.JobState;
import org.granitepath.storage.FinalRecord;
import org.granitepath.storage.ProgressRecord;

/** Words what users are told of a job, from its records. */
final class JobAnswers {
    private static final int RETRY_SECONDS = 2;

    private final JobIndex jobIndex;

    JobAnswers(JobIndex jobIndex) {
        this.jobIndex = jobIndex;
    }

    /** The request can't be answered now. */
    static JobResponse retryLater(String reason) {
        return new JobResponse.RetryLater(reason, RETRY_SECONDS);
    }

    /** The state of a job, for the request that made it known. */
    JobResponse createdJob(String jobId) {
        return status(jobId, true);
    }

    /** The state of a job that was known before the request. */
    JobResponse knownJob(String jobId) {
        return status(jobId, false);
    }

    private JobResponse status(String jobId, boolean created) {
        FinalRecord.Outcome outcome = jobIndex.outcomeOf(jobId);
        if (outcome != null) {
            JobState end = outcome == FinalRecord.Outcome.DONE ? JobState.DONE : JobState.CANCELLED;
            return new JobResponse.Status(created, jobId, end, 0, 0);
        }
        ProgressRecord progress = jobIndex.progressOf(jobId);
        JobState state = progress.runningTasks() > 0 ? JobState.RUNNING : JobState.PENDING;
        int doneTasks = ProgressRecord.count(progress.doneTasks());
        return new JobResponse.Status(created, jobId, state, doneTasks, progress.runningTasks());
    }
}
