package org.granitepath.recovery;

import static org.granitepath.recovery.RecoveryFixtures.NORTH;
import static org.granitepath.recovery.RecoveryFixtures.NORTH_SPOT;
import static org.granitepath.recovery.RecoveryFixtures.batch;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which jobs may have a task on a machine that is still awaited. */
class AwaitedMachinesTest {
    private final AwaitedMachines awaited = new AwaitedMachines();

    @Test
    void aJobMayBeOnlyWhereItsConstraintsAllowIt() {
        awaited.add("a", NORTH_SPOT);
        assertTrue(awaited.mayHold(batch(null, null, true)));
        assertTrue(awaited.mayHold(batch(List.of("small"), "north", true)));
        assertFalse(awaited.mayHold(batch(null, null, false)), "may not use spot machines");
        assertFalse(awaited.mayHold(batch(null, "south", true)));
        assertFalse(awaited.mayHold(batch(List.of("large"), null, true)));
    }

    @Test
    void doubtEndsWithTheLastMachineOfAProfile() {
        awaited.add("a", NORTH);
        awaited.add("b", NORTH);
        awaited.add("c", NORTH_SPOT);
        assertFalse(awaited.remove("a", NORTH));
        assertTrue(awaited.mayHold(batch(null, null, false)));
        assertTrue(awaited.remove("b", NORTH));
        assertFalse(awaited.mayHold(batch(null, null, false)));
        assertEquals(List.of("c"), List.copyOf(awaited.names()));
        assertTrue(awaited.remove("c", NORTH_SPOT));
        assertTrue(awaited.isEmpty());
    }

    @Test
    void anUnreadablePartOfTheInventoryMayHoldAnything() {
        awaited.addUnreadableParts(1);
        assertFalse(awaited.isEmpty());
        assertTrue(awaited.mayHold(batch(List.of("large"), "south", false)));
        assertEquals(1, awaited.unreadableParts());
    }
}
