package org.granitepath.coordination.gang;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.granitepath.coordination.model.Fixtures;
import org.granitepath.coordination.placement.PlacementFixture;
import org.granitepath.coordination.placement.ZoneFilter;
import org.granitepath.storage.JobSpec;
import org.junit.jupiter.api.Test;

/** Tests which zones are tried for a gang in a fleet with two zones. */
class GangConstraintsTest {
    private final GangConstraints constraints = new GangConstraints(List.of("a", "b"), new PlacementFixture().rules);

    private List<ZoneFilter> zonesToTry(boolean oneZone) {
        return constraints.zonesToTry(Fixtures.spec(JobSpec.Shape.GANG, oneZone, false));
    }

    @Test
    void gangWithoutZoneConstraintIsTriedInAllZonesTogether() {
        assertEquals(List.of(ZoneFilter.ANY_ZONE), zonesToTry(false));
    }

    @Test
    void gangThatMustShareAZoneIsTriedInEachZoneSeparately() {
        List<ZoneFilter> zones = zonesToTry(true);
        assertEquals(2, zones.size());
        assertTrue(zones.get(0).includes("a"));
        assertFalse(zones.get(0).includes("b"));
        assertTrue(zones.get(1).includes("b"));
        assertFalse(zones.get(1).includes("a"));
    }
}
