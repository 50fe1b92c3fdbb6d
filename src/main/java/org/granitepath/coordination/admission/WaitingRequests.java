package org.granitepath.coordination.admission;

/** How many users' requests wait for an answer. It is bounded, so that an outage does not fill the memory. */
final class WaitingRequests {
    private static final int LIMIT = 2_000;

    private int count;

    boolean isFull() {
        return count >= LIMIT;
    }

    void add() {
        count++;
    }

    void remove(int answered) {
        count -= answered;
    }
}
