package org.granitepath.coordination.model;

/**
 * How the start of an attempt is delivered to its machine: how it was sent, whether it may still be carried out late,
 * and whether a message of the worker has listed the attempt.
 */
final class StartDelivery {
    private static final long NO_TOKEN = 0;

    private long unacknowledgedToken = NO_TOKEN;
    private boolean sentInResponse;
    private boolean listed;
    private boolean onlyOnThisMachine;

    private StartDelivery(boolean listed, boolean onlyOnThisMachine) {
        this.listed = listed;
        this.onlyOnThisMachine = onlyOnThisMachine;
    }

    /** Returns the state of an attempt that this leader has decided on: not sent yet, and on no other machine. */
    static StartDelivery notSent() {
        return new StartDelivery(false, true);
    }

    /**
     * Returns the state of an attempt that a previous leader started and that a message has listed.
     *
     * @param onlyOnThisMachine whether it was listed under the current fencing token, which rules out other machines
     */
    static StartDelivery adopted(boolean onlyOnThisMachine) {
        return new StartDelivery(true, onlyOnThisMachine);
    }

    /** Notes that the start is sent in a heartbeat response. An earlier direct call may still be carried out. */
    void markSentInResponse() {
        sentInResponse = true;
    }

    /** Notes that the start is sent in a direct call under the given fencing token, which replaces earlier calls. */
    void markSentDirectly(long token) {
        sentInResponse = false;
        unacknowledgedToken = token;
    }

    /** Notes that the worker has restarted: any start under the given fencing token may be carried out once more. */
    void markRepeatable(long token) {
        unacknowledgedToken = token;
    }

    /** Notes that the call under the given fencing token was answered. Answers to earlier calls have no effect. */
    void acknowledge(long token) {
        if (unacknowledgedToken == token) {
            unacknowledgedToken = NO_TOKEN;
        }
    }

    /**
     * Notes that a message of the worker lists the attempt, so the start has arrived. A listing under the current
     * fencing token proves for good that the task is on no other machine.
     */
    void markListed(boolean underCurrentToken) {
        listed = true;
        onlyOnThisMachine |= underCurrentToken;
        unacknowledgedToken = NO_TOKEN;
    }

    /** Returns whether the latest start was sent in a heartbeat response. */
    boolean isSentInResponse() {
        return sentInResponse;
    }

    /**
     * Returns whether a direct start under the given fencing token or a later one has not been answered, or may be
     * carried out once more.
     */
    boolean hasUnacknowledgedStart(long token) {
        return unacknowledgedToken != NO_TOKEN && unacknowledgedToken >= token;
    }

    /** Returns whether a message of the worker has listed the attempt. */
    boolean hasBeenListed() {
        return listed;
    }

    /** Returns whether the task can be on no other machine. */
    boolean isOnlyOnThisMachine() {
        return onlyOnThisMachine;
    }
}
