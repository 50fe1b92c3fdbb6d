package org.granitepath.recovery;

/** What the records say of a task that a heartbeat lists. */
public enum RecordedTaskState {
    /** Claimed by this or a former leader, not finished. */
    CLAIMED,
    /** Its number was never claimed: no leader may have started it. */
    UNCLAIMED,
    /** On record as finished, in a job that goes on. */
    TASK_DONE,
    JOB_DONE,
    JOB_CANCELLED,
    /** The job has fewer tasks than this number. */
    NOT_IN_JOB,
    /** There is no record of the job. */
    UNKNOWN_JOB,
    /** A record of the job can't be read, so what it says is not known. */
    UNREADABLE
}
