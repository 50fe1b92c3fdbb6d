package org.granitepath.coordination.model;

import static org.granitepath.coordination.model.Fixtures.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.ProgressRecord;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the attempts placed on a machine of 4 CPUs. Each task needs 1 CPU. */
class MachinePlacementsTest {
    private final Machine machine = Fixtures.machine("i-1", "north");
    private final ActiveJob job = Fixtures.job();
    private final MachineCapacity capacity = new MachineCapacity();
    private final MachinePlacements placements = new MachinePlacements(capacity);

    @BeforeEach
    void setMachineType() {
        capacity.setType(Fixtures.TYPE);
    }

    @Test
    void placementsKeepInsertionOrder() {
        Placement first = Fixtures.placement(job, 5, machine, 1);
        Placement second = Fixtures.placement(job, 2, machine, 2);
        placements.add(first);
        placements.add(second);
        assertEquals(List.of(first, second), List.copyOf(placements.all()));
        assertSame(second, placements.get(second.task()));
    }

    @Test
    void placementUsesCapacityUntilRemoved() {
        Placement placement = Fixtures.placement(job, 0, machine, 1);
        placements.add(placement);
        assertEquals(3_000, capacity.freeCpuMillis());
        assertTrue(placements.remove(placement));
        assertEquals(4_000, capacity.freeCpuMillis());
        assertTrue(placements.isEmpty());
        assertNull(placements.get(placement.task()));
    }

    @Test
    void secondRemovalReleasesNoCapacity() {
        Placement placement = Fixtures.placement(job, 0, machine, 1);
        placements.add(placement);
        placements.remove(placement);
        assertFalse(placements.remove(placement));
        assertEquals(4_000, capacity.freeCpuMillis());
    }

    @Test
    void removingEarlierAttemptKeepsLaterOne() {
        Placement later = Fixtures.placement(job, 0, machine, 2);
        placements.add(later);
        assertFalse(placements.remove(Fixtures.placement(job, 0, machine, 1)));
        assertSame(later, placements.get(later.task()));
        assertEquals(3_000, capacity.freeCpuMillis());
    }

    @Test
    void imageIsFetchingUntilTaskWithItHasRun() {
        Placement placement = Fixtures.placement(job, 0, machine, 1);
        placements.add(placement);
        assertTrue(placements.isFetching("image"));
        assertFalse(placements.isFetching("other"));
        placement.markRunning(3 * SECOND);
        assertFalse(placements.isFetching("image"));
    }

    @Test
    void slotsBesideServicesIgnoreOtherTasks() {
        JobSpec service = Fixtures.spec(JobSpec.Shape.SERVICE, false, false);
        placements.add(Fixtures.placement(job, 0, machine, 1));
        placements.add(Fixtures.placement(Fixtures.job(service, 0, ProgressRecord.empty()), 1, machine, 2));
        assertEquals(3, placements.slotsBesideServices(service));
        assertEquals(2_000, capacity.freeCpuMillis(), "the query releases nothing");
    }
}
