package org.granitepath.coordination.placement;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Which zones are looked at. */
class ZoneFilterTest {
    @Test
    void anyZoneLeavesNoneOut() {
        assertTrue(ZoneFilter.ANY_ZONE.includes("a"));
        assertTrue(ZoneFilter.ANY_ZONE.includes("b"));
    }

    @Test
    void onlyOneZoneLeavesOutAllOthers() {
        assertTrue(ZoneFilter.only("a").includes("a"));
        assertFalse(ZoneFilter.only("a").includes("b"));
    }
}
