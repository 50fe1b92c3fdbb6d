package org.granitepath.recovery;

/**
 * The time limit for holding batch work back in favour of live work, and the live work that batch work waits for.
 * Whether batch work is held at all depends on the {@link RecoveryPhase}.
 */
final class BatchHold {
    private final long maxHoldMicros;
    private long endMicros;
    private LiveWorkBacklog backlog = LiveWorkBacklog.NONE;

    /**
     * Creates a hold that has not begun.
     *
     * @param maxHoldMicros the longest time for which batch work is held; 0 if it is not held at all
     */
    BatchHold(long maxHoldMicros) {
        this.maxHoldMicros = maxHoldMicros;
    }

    /** Starts the time limit. */
    void begin(long nowMicros) {
        endMicros = nowMicros + maxHoldMicros;
    }

    /** Returns whether the time limit has passed. */
    boolean hasExpired(long nowMicros) {
        return nowMicros >= endMicros;
    }

    /** Returns the time at which the hold ends at the latest, or 0 before it has begun. */
    long endMicros() {
        return endMicros;
    }

    /** Sets the live work that the latest scheduling cycle has not resumed. */
    void setBacklog(LiveWorkBacklog newBacklog) {
        backlog = newBacklog;
    }

    /** Returns a summary for operators of the live work that batch work waits for. */
    String awaitedLiveWork() {
        return backlog.summary();
    }

    /** Returns the reason, for operators, why the hold ends when it has expired. */
    String expiryReason() {
        return maxHoldMicros == 0 ? "no hold is set" : "the longest hold is over, with " + awaitedLiveWork();
    }
}
