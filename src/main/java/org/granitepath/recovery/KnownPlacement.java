package org.granitepath.recovery;

/** Where this leader has placed a task that a heartbeat lists. */
public enum KnownPlacement {
    /** This leader has not placed the task. */
    NONE,
    /** This leader has placed the listed attempt on the machine that sent the heartbeat. */
    THIS_ATTEMPT,
    /** This leader has placed another attempt of the task on the machine that sent the heartbeat. */
    OTHER_ATTEMPT_HERE,
    /** This leader has placed the task on another machine. */
    OTHER_MACHINE
}
