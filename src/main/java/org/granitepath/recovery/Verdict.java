package org.granitepath.recovery;

/** What the records and a machine's heartbeat together say of one task. */
public enum Verdict {
    /** The heartbeat lists the attempt that this leader holds there: its state is taken from the heartbeat. */
    CONFIRMED,
    /** An attempt of a former leader runs where nothing speaks against it: from now on it is this leader's. */
    ADOPTED,
    /** An attempt that this leader does not hold has completed the task: the result counts. */
    FINISHED_MEANWHILE,
    /** Runs for a job or a task that is over, was never claimed, or is held elsewhere: it is stopped. */
    STALE,
    /** Runs for a job that no record knows: it is stopped, and cleared once it has exited. */
    UNKNOWN_JOB,
    /** Has exited and tells nothing new: it is cleared when the protocol allows it. */
    EXITED,
    /** Proved to be on no machine: the task may start again. */
    LOST,
    /** May still run: nothing is done about the task until there is proof. */
    UNCONFIRMED
}
