package org.granitepath.storage;

import org.granitepath.storage.KeyValueStore.Outcome;

/**
 * Decides how to proceed after a transaction that was not committed, and how many changes the next transactions may
 * have.
 */
final class RetryPolicy {
    static final long RETRY_DELAY_MICROS = 300_000;
    private static final long SHORT_RETRY_DELAY_MICROS = 100_000;

    /** What happens to the writes of a transaction that was not committed. */
    enum Action {
        /** The store will never accept the write as it stands: it is not sent again. */
        ABANDON,
        /** The store did not carry out the transaction: the writes become pending again. */
        SEND_AGAIN,
        /**
         * The transaction may have been committed or may still be: as {@link #SEND_AGAIN}, but only after the records
         * have been read, with the revisions that they then have.
         */
        READ_BACK
    }

    /** An action, and the time to wait before anything more is sent or read. */
    record Decision(Action action, long delayMicros) {}

    private final int transactionChanges;
    private final RateControl control;
    private int maxChanges;

    /** @param transactionChanges the largest number of changes that the store accepts in a transaction */
    RetryPolicy(int transactionChanges, RateControl control) {
        this.transactionChanges = transactionChanges;
        this.control = control;
        this.maxChanges = transactionChanges;
    }

    /** Returns the largest number of changes that a transaction may have at present. */
    int maxChanges() {
        return maxChanges;
    }

    /** Raises the limit for the next transactions by one change, up to what the store accepts. */
    void onCommitted() {
        maxChanges = Math.min(transactionChanges, maxChanges + 1);
    }

    /**
     * Decides how to proceed after a transaction that was not committed.
     *
     * @param writes the number of pending writes in the transaction
     * @param changes the total number of changes of these writes
     */
    Decision onFailed(Outcome outcome, int writes, int changes) {
        return switch (outcome) {
            case INVALID -> onInvalid(writes);
            case REFUSED -> {
                // A small transaction gets through sooner if other writers use the same budget.
                maxChanges = Math.max(1, changes / 2);
                yield new Decision(
                        Action.SEND_AGAIN,
                        control == RateControl.ADAPTIVE ? RETRY_DELAY_MICROS : SHORT_RETRY_DELAY_MICROS);
            }
            case CONFLICT -> new Decision(Action.READ_BACK, 0);
            default -> new Decision(Action.READ_BACK, RETRY_DELAY_MICROS);
        };
    }

    private Decision onInvalid(int writes) {
        if (writes == 1) {
            return new Decision(Action.ABANDON, SHORT_RETRY_DELAY_MICROS);
        }
        maxChanges = 1; // isolates the invalid write, so that the others are written
        return new Decision(Action.SEND_AGAIN, SHORT_RETRY_DELAY_MICROS);
    }
}
