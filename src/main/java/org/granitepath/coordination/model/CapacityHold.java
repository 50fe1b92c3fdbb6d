package org.granitepath.coordination.model;

import org.jspecify.annotations.Nullable;

/** What the free capacity of a machine is held for: a waiting gang, or headroom for live services. */
final class CapacityHold {
    private boolean headroom;
    private @Nullable ActiveJob reservedFor;

    /** Returns whether the machine is idle and kept as headroom for live services. */
    boolean isHeadroom() {
        return headroom;
    }

    /** Sets whether the machine is kept as headroom. */
    void setHeadroom(boolean isHeadroom) {
        headroom = isHeadroom;
    }

    /** Returns the gang for which the capacity is reserved, or null if there is no reservation. */
    @Nullable
    ActiveJob reservedFor() {
        return reservedFor;
    }

    /** Reserves the capacity for the given gang and replaces any other reservation. */
    void reserveFor(ActiveJob gang) {
        reservedFor = gang;
    }

    /** Ends the reservation, no matter which gang holds it. */
    void endReservation() {
        reservedFor = null;
    }

    /** Ends the reservation if the given gang holds it. */
    void endReservationFor(ActiveJob gang) {
        if (reservedFor == gang) {
            reservedFor = null;
        }
    }
}
