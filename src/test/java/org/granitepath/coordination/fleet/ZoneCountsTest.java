package org.granitepath.coordination.fleet;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the detection of a partitioned zone from the overdue heartbeats there and in all other zones. */
class ZoneCountsTest {
    @Test
    void zoneIsPartitionedWhenMostOfItAndLittleElseIsOverdue() {
        assertTrue(new ZoneCounts(10, 7, 20, 5).isPartitioned());
        assertFalse(new ZoneCounts(10, 6, 20, 5).isPartitioned(), "too few are overdue there");
        assertFalse(new ZoneCounts(10, 7, 20, 6).isPartitioned(), "too many are overdue elsewhere");
    }

    @Test
    void smallZoneIsNeverPartitioned() {
        assertTrue(new ZoneCounts(4, 4, 20, 0).isPartitioned());
        assertFalse(new ZoneCounts(3, 3, 20, 0).isPartitioned());
    }

    @Test
    void onlyZoneIsNeverPartitioned() {
        assertFalse(new ZoneCounts(10, 10, 0, 0).isPartitioned());
    }

    @Test
    void zoneIsSuspectedWhenMoreThanFifthIsOverdue() {
        assertFalse(new ZoneCounts(10, 2, 20, 0).isPartitionSuspected());
        assertTrue(new ZoneCounts(10, 3, 20, 0).isPartitionSuspected());
        assertTrue(new ZoneCounts(10, 3, 20, 20).isPartitionSuspected(), "regardless of other zones");
    }
}
