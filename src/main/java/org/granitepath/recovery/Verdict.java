package org.granitepath.recovery;

/** What the records and a machine's heartbeat together prove about one task. */
public enum Verdict {
    /** The heartbeat lists the attempt that this leader has placed there. Its state is taken from the heartbeat. */
    CONFIRMED,
    /**
     * An attempt of an earlier leader runs and does not conflict with the records. This leader continues it as its own.
     */
    ADOPTED,
    /** An attempt that this leader has not placed has completed the task. Its result counts. */
    FINISHED_MEANWHILE,
    /**
     * The attempt runs although its job or task has ended, was never claimed, or is placed elsewhere. It is stopped.
     */
    STALE,
    /** The attempt runs a task that is in no job record. It is stopped, and cleared once it has exited. */
    UNKNOWN_JOB,
    /** The attempt has exited without a new result. It is cleared when the protocol allows it. */
    EXITED,
    /** The task is proven to be on no machine. It may start again. */
    LOST,
    /** The task may still be running. No action is taken on it until there is proof. */
    UNCONFIRMED
}
