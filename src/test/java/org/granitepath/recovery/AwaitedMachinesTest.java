package org.granitepath.recovery;

import static org.granitepath.recovery.RecoveryFixtures.NORTH;
import static org.granitepath.recovery.RecoveryFixtures.NORTH_SPOT;
import static org.granitepath.recovery.RecoveryFixtures.batch;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which jobs may have a task on an awaited machine. */
class AwaitedMachinesTest {
    private final AwaitedMachines awaited = new AwaitedMachines();

    @Test
    void aTaskCanBeOnlyOnMachinesThatItsJobAllows() {
        awaited.add("a", NORTH_SPOT);
        assertTrue(awaited.canHoldTaskOf(batch(null, null, true)));
        assertTrue(awaited.canHoldTaskOf(batch(List.of("small"), "north", true)));
        assertFalse(awaited.canHoldTaskOf(batch(null, null, false)), "the job does not allow spot instances");
        assertFalse(awaited.canHoldTaskOf(batch(null, "south", true)));
        assertFalse(awaited.canHoldTaskOf(batch(List.of("large"), null, true)));
    }

    @Test
    void tasksCannotBeOnAProfileWithoutAwaitedMachines() {
        awaited.add("a", NORTH);
        awaited.add("b", NORTH);
        awaited.add("c", NORTH_SPOT);
        assertFalse(awaited.remove("a", NORTH));
        assertTrue(awaited.canHoldTaskOf(batch(null, null, false)));
        assertTrue(awaited.remove("b", NORTH));
        assertFalse(awaited.canHoldTaskOf(batch(null, null, false)));
        assertEquals(List.of("c"), List.copyOf(awaited.ids()));
        assertTrue(awaited.remove("c", NORTH_SPOT));
        assertTrue(awaited.isEmpty());
    }

    @Test
    void anyTaskCanBeOnAMachineOfAnUnreadableInventoryPart() {
        awaited.addUnreadableParts(1);
        assertFalse(awaited.isEmpty());
        assertTrue(awaited.canHoldTaskOf(batch(List.of("large"), "south", false)));
        assertEquals(1, awaited.unreadableParts());
    }
}
