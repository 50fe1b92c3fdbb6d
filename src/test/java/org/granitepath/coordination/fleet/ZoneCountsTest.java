package org.granitepath.coordination.fleet;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What the overdue heartbeats of a zone, compared with those of all others, say of it. */
class ZoneCountsTest {
    @Test
    void aZoneIsCutOffWhenMostOfItAndLittleElseIsOverdue() {
        assertTrue(new ZoneCounts(10, 7, 20, 5).isCutOff());
        assertFalse(new ZoneCounts(10, 6, 20, 5).isCutOff(), "too few are overdue there");
        assertFalse(new ZoneCounts(10, 7, 20, 6).isCutOff(), "too many are overdue elsewhere");
    }

    @Test
    void aSmallZoneTellsNothing() {
        assertTrue(new ZoneCounts(4, 4, 20, 0).isCutOff());
        assertFalse(new ZoneCounts(3, 3, 20, 0).isCutOff());
    }

    @Test
    void theOnlyZoneIsNeverCutOff() {
        assertFalse(new ZoneCounts(10, 10, 0, 0).isCutOff());
    }

    @Test
    void aZoneIsSuspectedWhenMoreThanAFewAreOverdue() {
        assertFalse(new ZoneCounts(10, 2, 20, 0).isSuspected());
        assertTrue(new ZoneCounts(10, 3, 20, 0).isSuspected());
        assertTrue(new ZoneCounts(10, 3, 20, 20).isSuspected(), "whatever the others do");
    }
}
