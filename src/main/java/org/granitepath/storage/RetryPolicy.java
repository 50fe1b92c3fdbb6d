package org.granitepath.storage;

import org.granitepath.storage.KeyValueStore.Outcome;

/** What follows a transaction that was not committed, and how large the next ones may be. */
final class RetryPolicy {
    static final long RETRY_MICROS = 300_000;
    private static final long REFUSED_MICROS = 100_000;

    /** What to do with the writes of a transaction that was not committed. */
    enum Action {
        /** The store will never take it as it stands: it is not sent again. */
        ABANDON,
        /** Not carried out: it goes back among the pending writes. */
        SEND_AGAIN,
        /** Written or still under way: as SEND_AGAIN, but with the revisions as they then are. */
        READ_BACK
    }

    /** An action, and how long to wait before sending or reading anything more. */
    record Decision(Action action, long delayMicros) {}

    private final int transactionChanges;
    private final RateControl control;
    private int largestTransaction;

    /** @param transactionChanges the most changes that the store takes in a transaction */
    RetryPolicy(int transactionChanges, RateControl control) {
        this.transactionChanges = transactionChanges;
        this.control = control;
        this.largestTransaction = transactionChanges;
    }

    /** Changes to a transaction, at present. */
    int largestTransaction() {
        return largestTransaction;
    }

    void committed() {
        largestTransaction = Math.min(transactionChanges, largestTransaction + 1);
    }

    /**
     * @param writes how many pending writes the transaction held
     * @param changes how many changes these were together
     */
    Decision failed(Outcome outcome, int writes, int changes) {
        return switch (outcome) {
            case INVALID -> rejected(writes);
            case REFUSED -> {
                // A small transaction gets through sooner where others draw on the same budget.
                largestTransaction = Math.max(1, changes / 2);
                yield new Decision(Action.SEND_AGAIN, control == RateControl.ADAPTIVE ? RETRY_MICROS : REFUSED_MICROS);
            }
            case CONFLICT -> new Decision(Action.READ_BACK, 0);
            default -> new Decision(Action.READ_BACK, RETRY_MICROS);
        };
    }

    private Decision rejected(int writes) {
        if (writes == 1) {
            return new Decision(Action.ABANDON, REFUSED_MICROS);
        }
        largestTransaction = 1; // the one at fault is found by itself, and the others are written
        return new Decision(Action.SEND_AGAIN, REFUSED_MICROS);
    }
}
