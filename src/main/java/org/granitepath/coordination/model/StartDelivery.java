package org.granitepath.coordination.model;

/**
 * What is known of the way of an attempt to its machine: how the start went out, whether it may still be carried out
 * late, and whether a message of the worker has listed the attempt.
 */
final class StartDelivery {
    private static final long NO_TOKEN = 0;

    private long unacknowledgedToken = NO_TOKEN;
    private boolean sentInResponse;
    private boolean listed;
    private boolean onlyOnThisMachine;

    private StartDelivery(boolean seen, boolean onlyHere) {
        this.listed = seen;
        this.onlyOnThisMachine = onlyHere;
    }

    /** Of an attempt that this leader has decided on: it is nowhere else, and nothing has been sent yet. */
    static StartDelivery notSent() {
        return new StartDelivery(false, true);
    }

    /**
     * Of an attempt of a former leader that a message has listed.
     *
     * @param onlyHere whether it was listed under the present fencing token, so that it can be nowhere else
     */
    static StartDelivery adopted(boolean onlyHere) {
        return new StartDelivery(true, onlyHere);
    }

    /** The start goes out in the answer to a heartbeat; an earlier direct call may still be carried out. */
    void markSentInResponse() {
        sentInResponse = true;
    }

    /** The start goes out in a direct call under this fencing token, which takes the place of earlier calls. */
    void markSentDirectly(long token) {
        sentInResponse = false;
        unacknowledgedToken = token;
    }

    /** The direct call under this fencing token was answered; the answer to an earlier one changes nothing. */
    void acknowledge(long token) {
        if (unacknowledgedToken == token) {
            unacknowledgedToken = NO_TOKEN;
        }
    }

    /** A message of the worker lists the attempt, so the start has arrived. What was proved once stays so. */
    void markListed(boolean underPresentToken) {
        listed = true;
        onlyOnThisMachine |= underPresentToken;
        unacknowledgedToken = NO_TOKEN;
    }

    /** Whether the latest start went out in the answer to a heartbeat. */
    boolean isSentInResponse() {
        return sentInResponse;
    }

    /** Whether a direct start under this fencing token or a later one has no answer yet. */
    boolean hasUnacknowledgedStart(long token) {
        return unacknowledgedToken != NO_TOKEN && unacknowledgedToken >= token;
    }

    /** Whether a message of the worker has listed the attempt. */
    boolean hasBeenListed() {
        return listed;
    }

    /** Whether the task can be on no other machine. */
    boolean isOnlyOnThisMachine() {
        return onlyOnThisMachine;
    }
}
