package org.granitepath.recovery;

/**
 * The bound on how long batch work is held for live work, and what of the live work it waits for. Whether it is held at
 * all is a matter of the phase.
 */
final class BatchHold {
    private final long longestMicros;
    private long endsMicros;
    private LiveWorkBacklog backlog = LiveWorkBacklog.NONE;

    /** @param longestMicros how long batch work is held, at most; 0: not at all */
    BatchHold(long longestMicros) {
        this.longestMicros = longestMicros;
    }

    /** The time that the hold may last begins now. */
    void begin(long nowMicros) {
        endsMicros = nowMicros + longestMicros;
    }

    /** Whether it has lasted for as long as it may. */
    boolean isDue(long nowMicros) {
        return nowMicros >= endsMicros;
    }

    /** When it ends at the latest; 0 before it has begun. */
    long endsMicros() {
        return endsMicros;
    }

    /** A scheduling cycle has left this of the live work. */
    void waitsFor(LiveWorkBacklog left) {
        backlog = left;
    }

    /** What it waits for, in words that operators read. */
    String waitingFor() {
        return backlog.summary();
    }

    /** Why it ends when it is due, in words that operators read. */
    String reasonToEnd() {
        return longestMicros == 0 ? "no hold is set" : "the longest hold is over, with " + waitingFor();
    }
}
