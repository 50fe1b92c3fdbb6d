package org.granitepath.recovery;

/** The state of an attempt that a heartbeat lists, as far as it matters for the verdict. */
public enum ListedTaskState {
    /** The attempt fetches its image, waits, runs or saves its progress. */
    LIVE,
    /** The attempt has exited with a result that completes the task. */
    COMPLETED,
    /** The attempt has exited without completing the task. */
    EXITED
}
