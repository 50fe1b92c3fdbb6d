package org.granitepath.storage;

import org.granitepath.storage.KeyValueStore.Outcome;

/**
 * How fast a queue writes: how much of its share of the write budget is left, and the timer that wakes it when there
 * may be something to send.
 */
final class WritePace {
    /** Part of a second's share that writes of mere progress leave free. */
    private static final double RESERVED_FROM_PROGRESS = 0.3;
    /** A queue that needs longer than this for what waits is behind. */
    private static final int BEHIND_SECONDS = 3;

    private final Timers timers;
    private final TokenBucket budget;
    private final Runnable wake;
    private boolean wakeScheduled;

    /** @param wake called when a wait set by {@link #wakeAfter} is over */
    WritePace(Timers timers, TokenBucket budget, Runnable wake) {
        this.timers = timers;
        this.budget = budget;
        this.wake = wake;
    }

    /** The share of the write budget, in changes a second. */
    double sharePerSecond() {
        return budget.sharePerSecond();
    }

    /**
     * How long until a write may be sent; 0 or less: now.
     *
     * @param untilDueMicros how long until a write is due; 0 or less: now
     */
    long microsUntilAllowed(long untilDueMicros) {
        budget.refill(timers.nowMicros());
        return untilDueMicros <= 0 && !budget.allowsOne() ? budget.microsUntilOne() : untilDueMicros;
    }

    /** The most changes that the budget allows now, and at least one. */
    int mostChanges(int largestTransaction) {
        return Math.min(largestTransaction, Math.max(1, (int) budget.tokens()));
    }

    /** Progress leaves part of the budget free, so that what is urgent need not wait for it. */
    int mostProgressChanges(int mostChanges) {
        return Math.min(mostChanges, (int) (budget.tokens() - budget.sharePerSecond() * RESERVED_FROM_PROGRESS));
    }

    /** Whether so many writes are more than can be sent in a few seconds. */
    boolean isBehind(long waitingWrites) {
        return waitingWrites > BEHIND_SECONDS * budget.sharePerSecond();
    }

    /** A transaction with so many changes goes out. */
    void sent(int changes) {
        budget.take(changes);
    }

    /** A transaction ended so. */
    void answered(Outcome outcome) {
        budget.adapt(outcome);
    }

    /** Wakes the queue after this long, or earlier to look again; does nothing while an earlier wait is not over. */
    void wakeAfter(long delayMicros) {
        if (wakeScheduled) {
            return;
        }
        wakeScheduled = true;
        timers.after(Math.min(delayMicros, RetryPolicy.RETRY_MICROS), () -> {
            wakeScheduled = false;
            wake.run();
        });
    }
}
