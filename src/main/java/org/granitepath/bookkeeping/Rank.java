package org.granitepath.bookkeeping;

/** Priority of a job, highest first. */
public enum Rank {
    CRITICAL,
    HIGH,
    STANDARD,
    BEST_EFFORT;

    public boolean above(Rank other) {
        return ordinal() < other.ordinal();
    }
}
