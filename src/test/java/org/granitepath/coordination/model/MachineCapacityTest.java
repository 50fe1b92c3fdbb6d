package org.granitepath.coordination.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.granitepath.storage.JobSpec;
import org.junit.jupiter.api.Test;

/** Tests the used and free resources of a machine with 4 CPUs, a GPU and 8 GB. Each task needs 1 CPU and 2 GB. */
class MachineCapacityTest {
    private static final JobSpec BATCH = Fixtures.spec(JobSpec.Shape.BATCH, false, false);
    private static final JobSpec SERVICE = Fixtures.spec(JobSpec.Shape.SERVICE, false, false);

    private final MachineCapacity capacity = new MachineCapacity();

    @Test
    void nothingFitsWhileTypeIsUnknown() {
        assertFalse(capacity.fits(BATCH));
        assertEquals(0, capacity.freeCpuMillis());
        assertEquals(0, capacity.usedCpuShare());
        assertEquals(0, capacity.slots(BATCH, 1_000_000, 0, 1_000_000));
    }

    @Test
    void allocatedResourcesAreNotFreeUntilReleased() {
        capacity.setType(Fixtures.TYPE);
        assertEquals(4, capacity.slots(BATCH, 0, 0, 0));
        capacity.allocate(BATCH);
        assertEquals(3, capacity.slots(BATCH, 0, 0, 0));
        assertEquals(0.25, capacity.usedCpuShare());
        assertTrue(capacity.hasFree(3_000, 6_000));
        assertFalse(capacity.hasFree(3_001, 6_000));
        assertFalse(capacity.hasFree(3_000, 6_001));
        capacity.release(BATCH);
        assertEquals(4_000, capacity.freeCpuMillis());
    }

    @Test
    void scarcestResourceLimitsSlots() {
        capacity.setType(Fixtures.TYPE);
        assertEquals(4, capacity.slots(BATCH, 10_000, 0, 0), "the memory suffices for four");
        assertEquals(4, capacity.slots(BATCH, 0, 0, 10_000), "the CPUs suffice for four");
        assertEquals(6, capacity.slots(BATCH, 2_000, 0, 4_000));
        assertEquals(0, capacity.slots(BATCH, -4_000, 0, 0));
    }

    @Test
    void servicesAreCountedSeparately() {
        capacity.allocate(BATCH);
        assertFalse(capacity.hasService());
        capacity.allocate(SERVICE);
        assertTrue(capacity.hasService());
        assertEquals(1_000, capacity.serviceCpuMillis());
        capacity.release(SERVICE);
        assertFalse(capacity.hasService());
        assertEquals(0, capacity.serviceCpuMillis());
    }

    @Test
    void sixteenMostRecentlyUsedImagesAreRemembered() {
        for (int i = 0; i < 16; i++) {
            capacity.addImage("image-" + i);
        }
        capacity.addImage("image-0");
        capacity.addImage("image-16");
        assertTrue(capacity.hasImage("image-0"), "used again recently");
        assertFalse(capacity.hasImage("image-1"));
        assertTrue(capacity.hasImage("image-2"));
        assertTrue(capacity.hasImage("image-16"));
    }
}
