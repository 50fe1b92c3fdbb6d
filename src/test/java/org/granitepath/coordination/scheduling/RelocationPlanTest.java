package org.granitepath.coordination.scheduling;

import static org.granitepath.coordination.placement.PlacementFixture.CPU;
import static org.granitepath.coordination.placement.PlacementFixture.SECOND;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.placement.PlacementFixture;
import org.granitepath.storage.Priority;
import org.junit.jupiter.api.Test;

/** Which replicas find capacity on fuller machines. A machine has four CPUs and fetches an image at 1 GB/s. */
class RelocationPlanTest {
    private final PlacementFixture fixture = new PlacementFixture();
    private final RelocationPlan plan = new RelocationPlan(fixture.fleet);

    /** A machine with so much of its CPUs in use by one replica. */
    private Machine machineWith(String id, long cpuMillis) {
        return machineWith(id, fixture.service(id, Priority.STANDARD).cpuMillis(cpuMillis));
    }

    private Machine machineWith(String id, PlacementFixture.JobBuilder service) {
        Machine machine = fixture.addMachine(id, false);
        fixture.addRunningTask(service.build(), machine, SECOND);
        return machine;
    }

    @Test
    void capacityIsFoundOnAFullerMachine() {
        Machine source = machineWith("source", CPU);
        machineWith("fuller", 3 * CPU);
        assertTrue(plan.moveAllFrom(source));
    }

    @Test
    void emptierMachinesAreNotFilled() {
        Machine source = machineWith("source", 2 * CPU);
        machineWith("emptier", CPU);
        assertFalse(plan.moveAllFrom(source));
    }

    @Test
    void allReplicasHaveToFindCapacity() {
        Machine source = machineWith("source", CPU);
        ActiveJob second = fixture.service("second", Priority.STANDARD).build();
        fixture.addRunningTask(second, source, SECOND);
        machineWith("fuller", 3 * CPU);
        assertFalse(plan.moveAllFrom(source));
    }

    @Test
    void capacityIsPromisedOnce() {
        Machine first = machineWith("first", CPU);
        Machine second = machineWith("second", CPU);
        machineWith("fuller", 3 * CPU);
        assertTrue(plan.moveAllFrom(first));
        assertFalse(plan.moveAllFrom(second));
    }

    @Test
    void aMachineThatIsToTakeReplicasKeepsItsOwn() {
        Machine source = machineWith("source", CPU);
        Machine fuller = machineWith("fuller", 2 * CPU);
        machineWith("fullest", 4 * CPU - 1);
        assertTrue(plan.moveAllFrom(source));
        assertFalse(plan.moveAllFrom(fuller));
    }

    @Test
    void aReplicaDoesNotMoveWhereItsImageIsFarAway() {
        Machine source = machineWith(
                "source", fixture.service("large-image", Priority.STANDARD).imageGb(2));
        machineWith("fuller", 2 * CPU);
        assertFalse(plan.moveAllFrom(source));
    }

    @Test
    void machinesThatTakeNoTasksTakeNoReplicas() {
        Machine source = machineWith("source", CPU);
        machineWith("fuller", 2 * CPU).drain("test");
        assertFalse(plan.moveAllFrom(source));
    }
}
