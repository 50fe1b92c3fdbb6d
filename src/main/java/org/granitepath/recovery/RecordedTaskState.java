package org.granitepath.recovery;

/** The state, according to the records in the store, of a task that a heartbeat lists. */
public enum RecordedTaskState {
    /** The task is claimed by this or an earlier leader, and has not finished. */
    CLAIMED,
    /** The task was never claimed, so no leader was allowed to start it. */
    UNCLAIMED,
    /** The task is recorded as finished, and its job has not ended. */
    TASK_DONE,
    /** The job is recorded as done. */
    JOB_DONE,
    /** The job is recorded as cancelled. */
    JOB_CANCELLED,
    /** The job has no task with this index. */
    NOT_IN_JOB,
    /** There is no record of the job. */
    UNKNOWN_JOB,
    /** A record of the job cannot be read, so the state is unknown. */
    UNREADABLE
}
