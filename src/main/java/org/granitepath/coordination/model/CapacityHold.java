package org.granitepath.coordination.model;

import org.jspecify.annotations.Nullable;

/** For whom the free capacity of a machine is held back: for a gang that waits, and as headroom for live services. */
final class CapacityHold {
    private boolean headroom;
    private @Nullable ActiveJob reservedFor;

    /** Whether the machine is idle, but kept as headroom for live services. */
    boolean isHeadroom() {
        return headroom;
    }

    /** Whether the machine is kept as headroom from now on. */
    void setHeadroom(boolean keep) {
        headroom = keep;
    }

    /** The gang that the capacity is held for, or null. */
    @Nullable
    ActiveJob reservedFor() {
        return reservedFor;
    }

    /** Holds the capacity for this gang, in place of any other. */
    void reserveFor(ActiveJob gang) {
        reservedFor = gang;
    }

    /** Ends the reservation, whoever it is for. */
    void endReservation() {
        reservedFor = null;
    }

    /** Ends the reservation if it is for this gang. */
    void endReservationFor(ActiveJob gang) {
        if (reservedFor == gang) {
            reservedFor = null;
        }
    }
}
