package org.granitepath.coordination.leadership;

/**
 * Where this controller stands. The last three are the phases of a term, by the age of the store's last word: time
 * alone moves a term among them, in either direction.
 */
enum LeadershipPhase {
    /** Another controller leads, or none. */
    FOLLOWING,
    /** This controller stands for leader. */
    CAMPAIGNING,
    /** This controller leads, as the store confirmed lately. */
    LEADING,
    /**
     * Lately no word from the store, or only about our lease and not about the records. Workers are still answered,
     * since an outage looks the same.
     */
    DISCONNECTED,
    /** Disconnected for so long that a cancellation might be missed: workers are left to their leases. */
    FENCED_OFF;

    /** Whether a controller may go from this phase to the next one. */
    boolean allows(LeadershipPhase next) {
        return switch (this) {
            case FOLLOWING -> next == CAMPAIGNING;
            case CAMPAIGNING -> next == LEADING || next == FOLLOWING;
            case LEADING -> next == DISCONNECTED || next == FENCED_OFF || next == FOLLOWING;
            case DISCONNECTED -> next == LEADING || next == FENCED_OFF || next == FOLLOWING;
            case FENCED_OFF -> next == LEADING || next == DISCONNECTED || next == FOLLOWING;
        };
    }
}
