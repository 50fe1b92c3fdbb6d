package org.granitepath.storage;

import org.granitepath.storage.KeyValueStore.Outcome;

/**
 * Controls how fast a queue writes. It limits the queue to its share of the write budget, and wakes the queue by a
 * timer when there may be a write to send.
 */
final class WritePace {
    /** The part of one second's share of the budget that progress writes leave free. */
    private static final double RESERVED_FROM_PROGRESS_FRACTION = 0.3;
    /** A queue is behind if it needs longer than this for the writes that wait. */
    private static final int BEHIND_SECONDS = 3;

    private final Timers timers;
    private final TokenBucket budget;
    private final Runnable wakeAction;
    private boolean wakeScheduled;

    /** @param wakeAction called when a delay set by {@link #wakeAfter} has passed */
    WritePace(Timers timers, TokenBucket budget, Runnable wakeAction) {
        this.timers = timers;
        this.budget = budget;
        this.wakeAction = wakeAction;
    }

    /** Returns the share of the write budget, in changes per second. */
    double sharePerSecond() {
        return budget.sharePerSecond();
    }

    /**
     * Returns the time until a write may be sent; 0 or less if one may be sent now.
     *
     * @param untilDueMicros the time until a write is due; 0 or less if one is due now
     */
    long microsUntilAllowed(long untilDueMicros) {
        budget.refill(timers.nowMicros());
        return untilDueMicros <= 0 && !budget.hasToken() ? budget.microsUntilToken() : untilDueMicros;
    }

    /** Returns the largest number of changes that the budget allows now, at least one. */
    int maxChanges(int maxTransactionChanges) {
        return Math.min(maxTransactionChanges, Math.max(1, (int) budget.tokens()));
    }

    /**
     * Returns the number of changes from which on no progress write is added. Progress writes leave part of the budget
     * free, so that urgent writes need not wait for them.
     */
    int maxProgressChanges(int maxChanges) {
        return Math.min(
                maxChanges, (int) (budget.tokens() - budget.sharePerSecond() * RESERVED_FROM_PROGRESS_FRACTION));
    }

    /** Returns whether so many waiting writes are more than the queue can send within a few seconds. */
    boolean isBehind(long waitingWrites) {
        return waitingWrites > BEHIND_SECONDS * budget.sharePerSecond();
    }

    /** Charges the budget for a transaction that is sent with this many changes. */
    void recordSent(int changes) {
        budget.take(changes);
    }

    /** Adapts the rate to the outcome of a transaction. */
    void recordOutcome(Outcome outcome) {
        budget.adaptRate(outcome);
    }

    /**
     * Wakes the queue after the delay, or earlier so that it checks again. Does nothing if a wake-up is already
     * scheduled.
     */
    void wakeAfter(long delayMicros) {
        if (wakeScheduled) {
            return;
        }
        wakeScheduled = true;
        timers.after(Math.min(delayMicros, RetryPolicy.RETRY_DELAY_MICROS), () -> {
            wakeScheduled = false;
            wakeAction.run();
        });
    }
}
