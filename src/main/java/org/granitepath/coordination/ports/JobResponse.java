package org.granitepath.coordination.ports;

/** The response to a user's request about a job. */
public sealed interface JobResponse {
    /** The state of a job as users see it. */
    enum JobState {
        PENDING,
        RUNNING,
        DONE,
        CANCELLED
    }

    /**
     * The status of a job that is on record.
     *
     * @param created whether this request created the job
     * @param job the id of the job
     * @param finishedTasks the number of tasks that have finished
     * @param runningTasks the number of tasks that are running
     */
    record Status(boolean created, String job, JobState state, int finishedTasks, int runningTasks)
            implements JobResponse {}

    /** No job with the requested id was ever accepted. */
    record NotFound() implements JobResponse {}

    /** The job can never run, for the given reason. */
    record Unschedulable(String reason) implements JobResponse {}

    /** The request cannot be answered now, for the given reason. The client may retry after this many seconds. */
    record RetryLater(String reason, int afterSeconds) implements JobResponse {}
}
