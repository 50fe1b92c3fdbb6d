package org.granitepath.coordination.leadership;

/**
 * The phases of leader election on one controller. The last three are the phases of a term; which of them applies
 * depends only on the time since the last contact with the store, so a term can change from each of them to the others.
 */
enum LeadershipPhase {
    /** Another controller is the leader, or there is none. */
    FOLLOWING,
    /** This controller tries to become the leader. */
    CAMPAIGNING,
    /** This controller is the leader, and the store has confirmed it recently. */
    LEADING,
    /**
     * The store has not answered recently, or it has confirmed the lease but not answered reads of the records. Workers
     * are still answered, because this controller cannot tell an outage of the store from a loss of its own connection.
     */
    DISCONNECTED,
    /**
     * Out of contact for so long that a cancellation that this controller has missed would take effect too late.
     * Workers are not answered any more, so their leases expire.
     */
    FENCED_OFF;

    /** Returns whether a controller may change from this phase to the next one. */
    boolean canChangeTo(LeadershipPhase next) {
        return switch (this) {
            case FOLLOWING -> next == CAMPAIGNING;
            case CAMPAIGNING -> next == LEADING || next == FOLLOWING;
            case LEADING -> next == DISCONNECTED || next == FENCED_OFF || next == FOLLOWING;
            case DISCONNECTED -> next == LEADING || next == FENCED_OFF || next == FOLLOWING;
            case FENCED_OFF -> next == LEADING || next == DISCONNECTED || next == FOLLOWING;
        };
    }
}
