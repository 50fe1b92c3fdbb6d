package org.granitepath.coordination.autoscaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.granitepath.storage.JobSpec;
import org.junit.jupiter.api.Test;

/** Tests reservations of capacity on a pending machine. */
class PlannedMachineTest {
    private final JobSpec batch = Examples.batch();

    @Test
    void reservedCapacityIsNotFreeUntilUnreserved() {
        PlannedMachine machine = new PlannedMachine(Examples.TYPE, "a", false);
        assertEquals(4, machine.slots(batch));
        for (int task = 0; task < 4; task++) {
            assertTrue(machine.reserve(batch));
        }
        assertFalse(machine.reserve(batch));
        assertEquals(0, machine.freeCpuMillis());
        machine.unreserve(batch);
        assertEquals(1, machine.slots(batch));
        assertEquals(1_000, machine.freeCpuMillis());
    }

    @Test
    void holdsNoTasksOfJobThatDoesNotAllowSpotOrZone() {
        JobSpec demanding = Examples.job(JobSpec.Shape.BATCH, "b", false, JobSpec.NO_DEADLINE);
        assertEquals(0, new PlannedMachine(Examples.TYPE, "b", true).slots(demanding));
        assertEquals(0, new PlannedMachine(Examples.TYPE, "a", false).slots(demanding));
        assertEquals(4, new PlannedMachine(Examples.TYPE, "b", false).slots(demanding));
    }
}
