package org.granitepath.recovery;

/** The stages of a recovery, in order. A term never goes back to an earlier one. */
public enum RecoveryPhase {
    /** The term is won; the records are being read up to its beginning. Nothing is commanded. */
    READING,
    /** Heartbeats are compared with the records; live work starts as its proofs come in. */
    RECONCILING,
    /** No task of live work is unconfirmed any more; those that have or get capacity are being started. */
    RESUMING_LIVE,
    /** All work may start, each task on its own proof; some machines are still awaited. */
    RESUMING_BATCH,
    /** Every machine taken over has sent a heartbeat or is proved gone. */
    RECOVERED;

    /** Whether batch work, which comes after live work, may start. */
    public boolean canStartBatchWork() {
        return compareTo(RESUMING_BATCH) >= 0;
    }

    /** Whether batch work is held for live work, which may start. */
    public boolean isHoldingBatchWork() {
        return this == RECONCILING || this == RESUMING_LIVE;
    }
}
