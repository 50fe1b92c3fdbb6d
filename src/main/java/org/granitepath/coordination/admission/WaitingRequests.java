package org.granitepath.coordination.admission;

/**
 * Counts the users' requests that wait for an answer. The number is bounded, so that requests do not fill the memory
 * during an outage.
 */
final class WaitingRequests {
    private static final int MAX_WAITING_REQUESTS = 2_000;

    private int count;

    /** Returns whether the limit is reached, so that no further request may wait. */
    boolean isFull() {
        return count >= MAX_WAITING_REQUESTS;
    }

    void add() {
        count++;
    }

    void remove(int answered) {
        count -= answered;
    }
}
