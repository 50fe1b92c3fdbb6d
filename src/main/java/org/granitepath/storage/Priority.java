package org.granitepath.storage;

/** The priority of a job, highest first. */
public enum Priority {
    /** Takes precedence over all other work. */
    CRITICAL,
    /** Takes precedence over standard and best-effort work. */
    HIGH,
    /** Takes precedence over best-effort work. */
    STANDARD,
    /** Runs where capacity is left over. */
    BEST_EFFORT;

    /** Returns whether work of this priority takes precedence over work of the other, and may stop it. */
    public boolean isHigherThan(Priority other) {
        return compareTo(other) < 0;
    }
}
