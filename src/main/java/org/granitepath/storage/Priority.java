package org.granitepath.storage;

/** Priority of a job, highest first. */
public enum Priority {
    CRITICAL(0),
    HIGH(1),
    STANDARD(2),
    BEST_EFFORT(3);

    private final int code;

    Priority(int code) {
        this.code = code;
    }

    /** The number that stands for it in records. */
    public int code() {
        return code;
    }

    /** The priority with this number; the lowest for a number that is not known. */
    public static Priority ofCode(int code) {
        for (Priority priority : values()) {
            if (priority.code == code) {
                return priority;
            }
        }
        return BEST_EFFORT;
    }

    /** Whether work of this priority goes before, and may stop, work of the other. */
    public boolean above(Priority other) {
        return compareTo(other) < 0;
    }
}
