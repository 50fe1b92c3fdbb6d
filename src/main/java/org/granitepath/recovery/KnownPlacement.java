package org.granitepath.recovery;

/** Where this leader holds the task that a heartbeat lists. */
public enum KnownPlacement {
    NONE,
    /** The very attempt that is listed, on the machine that sent the heartbeat. */
    THIS_ATTEMPT,
    /** On the same machine, under another attempt. */
    OTHER_ATTEMPT_HERE,
    OTHER_MACHINE
}
