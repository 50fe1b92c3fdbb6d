package org.granitepath.storage;

/** Priority of a job, highest first. */
public enum Priority {
    CRITICAL,
    HIGH,
    STANDARD,
    BEST_EFFORT;

    /** Whether work of this priority goes before, and may stop, work of the other. */
    public boolean above(Priority other) {
        return compareTo(other) < 0;
    }
}
