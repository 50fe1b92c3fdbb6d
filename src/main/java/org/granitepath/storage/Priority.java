package org.granitepath.storage;

/** Priority of a job, highest first. */
public enum Priority {
    /** Goes before all other work. */
    CRITICAL,
    /** Goes before standard work. */
    HIGH,
    /** Goes before best-effort work. */
    STANDARD,
    /** Runs where there is capacity to spare. */
    BEST_EFFORT;

    /** Whether work of this priority goes before, and may stop, work of the other. */
    public boolean isHigherThan(Priority other) {
        return compareTo(other) < 0;
    }
}
