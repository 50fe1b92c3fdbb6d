package org.granitepath.coordination.placement;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests which zones a filter includes. */
class ZoneFilterTest {
    @Test
    void anyZoneIncludesEveryZone() {
        assertTrue(ZoneFilter.ANY_ZONE.includes("a"));
        assertTrue(ZoneFilter.ANY_ZONE.includes("b"));
    }

    @Test
    void filterForOneZoneExcludesAllOthers() {
        assertTrue(ZoneFilter.only("a").includes("a"));
        assertFalse(ZoneFilter.only("a").includes("b"));
    }
}
