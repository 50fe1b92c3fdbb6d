package org.granitepath.recovery;

/** The phases of a recovery, in order. A term never returns to an earlier phase. */
public enum RecoveryPhase {
    /** The term has been won, and the records are being read up to its start. No commands are sent. */
    READING,
    /**
     * Heartbeats are compared with the records. Live work may start, each task once it is proven to be on no machine.
     */
    RECONCILING,
    /** No task of live work is unconfirmed any more. The tasks for which there is capacity, or will be, are started. */
    RESUMING_LIVE,
    /** All work may start, each task once it is proven to be on no machine. Some machines may still be awaited. */
    RESUMING_BATCH,
    /** Every machine taken over has sent a heartbeat or is proven to be gone. */
    RECOVERED;

    /** Returns whether batch work, which is resumed after live work, may start. */
    public boolean canStartBatchWork() {
        return compareTo(RESUMING_BATCH) >= 0;
    }

    /** Returns whether live work may start while batch work is held back. */
    public boolean isBatchWorkHeld() {
        return this == RECONCILING || this == RESUMING_LIVE;
    }
}
