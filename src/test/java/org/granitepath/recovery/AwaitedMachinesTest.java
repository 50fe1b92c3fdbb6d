package org.granitepath.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.Priority;
import org.junit.jupiter.api.Test;

/** Which jobs may have a task on a machine that is still awaited. */
class AwaitedMachinesTest {
    private static final MachineProfile NORTH = new MachineProfile("small", "north", false);
    private static final MachineProfile NORTH_SPOT = new MachineProfile("small", "north", true);

    private final AwaitedMachines awaited = new AwaitedMachines();

    private static JobSpec job(List<String> types, String zone, boolean spot) {
        return new JobSpec(
                "run-1",
                "class",
                "team",
                JobSpec.Shape.BATCH,
                Priority.STANDARD,
                1,
                1_000,
                0,
                1_000,
                "image",
                1,
                types,
                zone,
                false,
                false,
                spot,
                1_000_000,
                0,
                0,
                JobSpec.NO_DEADLINE);
    }

    @Test
    void aJobMayBeOnlyWhereItsConstraintsAllowIt() {
        awaited.add("a", NORTH_SPOT);
        assertTrue(awaited.mayHold(job(null, null, true)));
        assertTrue(awaited.mayHold(job(List.of("small"), "north", true)));
        assertFalse(awaited.mayHold(job(null, null, false)), "may not use spot machines");
        assertFalse(awaited.mayHold(job(null, "south", true)));
        assertFalse(awaited.mayHold(job(List.of("large"), null, true)));
    }

    @Test
    void doubtEndsWithTheLastMachineOfAProfile() {
        awaited.add("a", NORTH);
        awaited.add("b", NORTH);
        awaited.add("c", NORTH_SPOT);
        assertFalse(awaited.remove("a", NORTH));
        assertTrue(awaited.mayHold(job(null, null, false)));
        assertTrue(awaited.remove("b", NORTH));
        assertFalse(awaited.mayHold(job(null, null, false)));
        assertEquals(List.of("c"), List.copyOf(awaited.names()));
        assertTrue(awaited.remove("c", NORTH_SPOT));
        assertTrue(awaited.isEmpty());
    }

    @Test
    void anUnreadablePartOfTheInventoryMayHoldAnything() {
        awaited.addUnreadableParts(1);
        assertFalse(awaited.isEmpty());
        assertTrue(awaited.mayHold(job(List.of("large"), "south", false)));
        assertEquals(1, awaited.unreadableParts());
    }
}
