package org.granitepath.coordination.model;

import static org.granitepath.coordination.model.Fixtures.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the scheduler's notes on a job. */
class SchedulingStateTest {
    private final SchedulingState scheduling = new SchedulingState();

    @Test
    void newStateIsEmpty() {
        assertEquals(SchedulingClass.OTHER, scheduling.schedulingClass());
        assertEquals(0, scheduling.notBeforeMicros());
        assertFalse(scheduling.isWaiting());
        assertFalse(scheduling.hasReservation());
        assertTrue(scheduling.lastStartMicros() < 0);
        assertTrue(scheduling.lastRunningMicros() < 0);
    }

    @Test
    void jobWaitsSinceFirstMarkWaiting() {
        scheduling.markWaiting(SECOND);
        scheduling.markWaiting(2 * SECOND);
        assertEquals(SECOND, scheduling.waitingSinceMicros());
        scheduling.clearWaiting();
        assertFalse(scheduling.isWaiting());
        scheduling.markWaiting(3 * SECOND);
        assertEquals(3 * SECOND, scheduling.waitingSinceMicros());
    }

    @Test
    void endedReservationCanBeBlockedUntilLaterTime() {
        scheduling.beginReservation(SECOND);
        assertTrue(scheduling.hasReservation());
        assertEquals(SECOND, scheduling.reservedSinceMicros());
        scheduling.endReservation();
        scheduling.blockReservationUntil(9 * SECOND);
        assertFalse(scheduling.hasReservation());
        assertEquals(9 * SECOND, scheduling.reservationBlockedUntilMicros());
    }
}
