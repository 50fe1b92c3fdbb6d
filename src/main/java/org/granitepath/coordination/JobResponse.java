package org.granitepath.coordination;

/** What a user is told. */
public sealed interface JobResponse {
    enum JobState {
        PENDING,
        RUNNING,
        DONE,
        CANCELLED
    }

    record Status(boolean created, String job, JobState state, int done, int running) implements JobResponse {}

    record NotFound() implements JobResponse {}

    record Unschedulable(String reason) implements JobResponse {}

    /** Can't be answered now; worth asking again after this many seconds. */
    record RetryLater(String reason, int afterSeconds) implements JobResponse {}
}
