package org.granitepath.recovery;

/** Where this leader holds the task that a machine reports. */
public enum KnownPlacement {
    NONE,
    /** The very attempt that is reported, on the machine that reports it. */
    THIS_ATTEMPT,
    /** On the same machine, under another attempt. */
    OTHER_ATTEMPT_HERE,
    OTHER_MACHINE
}
