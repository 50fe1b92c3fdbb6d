package org.granitepath.coordination.ports;

/** What a user is told. */
public sealed interface JobResponse {
    /** The state of a job as users see it. */
    enum JobState {
        PENDING,
        RUNNING,
        DONE,
        CANCELLED
    }

    /** The job is known; {@code created} when this very request made it so. */
    record Status(boolean created, String job, JobState state, int finishedTasks, int runningTasks)
            implements JobResponse {}

    /** No such job was ever accepted. */
    record NotFound() implements JobResponse {}

    /** The job can never run, and why. */
    record Unschedulable(String reason) implements JobResponse {}

    /** Can't be answered now; worth asking again after this many seconds. */
    record RetryLater(String reason, int afterSeconds) implements JobResponse {}
}
