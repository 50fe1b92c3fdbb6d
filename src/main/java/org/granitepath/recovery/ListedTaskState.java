package org.granitepath.recovery;

/** What a heartbeat says of an attempt. */
public enum ListedTaskState {
    /** Fetches its image, waits, runs or saves. */
    LIVE,
    /** Has exited with a result that completes the task. */
    COMPLETED,
    /** Has exited for another reason, or without a result that counts. */
    EXITED
}
