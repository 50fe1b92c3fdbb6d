package org.granitepath.coordination.model;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests what capacity is held for, and what ends a hold. */
class CapacityHoldTest {
    private final ActiveJob gang = Fixtures.job();
    private final ActiveJob other = Fixtures.job();
    private final CapacityHold hold = new CapacityHold();

    @Test
    void newHoldHasNeitherHeadroomNorReservation() {
        assertFalse(hold.isHeadroom());
        assertNull(hold.reservedFor());
    }

    @Test
    void headroomIsKeptUntilItIsCleared() {
        hold.setHeadroom(true);
        assertTrue(hold.isHeadroom());
        hold.setHeadroom(false);
        assertFalse(hold.isHeadroom());
    }

    @Test
    void laterReservationReplacesEarlierOne() {
        hold.reserveFor(gang);
        hold.reserveFor(other);
        assertSame(other, hold.reservedFor());
    }

    @Test
    void reservationEndsOnlyForItsOwnGang() {
        hold.reserveFor(gang);
        hold.endReservationFor(other);
        assertSame(gang, hold.reservedFor());
        hold.endReservationFor(gang);
        assertNull(hold.reservedFor());
    }

    @Test
    void reservationCanBeEndedForAnyGang() {
        hold.reserveFor(gang);
        hold.endReservation();
        assertNull(hold.reservedFor());
    }

    @Test
    void headroomAndReservationAreIndependent() {
        hold.setHeadroom(true);
        hold.reserveFor(gang);
        hold.endReservation();
        assertTrue(hold.isHeadroom());
    }
}
