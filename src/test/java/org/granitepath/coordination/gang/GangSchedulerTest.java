package org.granitepath.coordination.gang;

import static org.granitepath.coordination.placement.PlacementFixture.CPU;
import static org.granitepath.coordination.placement.PlacementFixture.NOW;
import static org.granitepath.coordination.placement.PlacementFixture.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.ArrayList;
import java.util.List;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.placement.MachineScorer;
import org.granitepath.coordination.placement.PlacementFixture;
import org.granitepath.storage.Priority;
import org.junit.jupiter.api.Test;

/** A gang of two tasks with two CPUs each, and three machines with four CPUs. */
class GangSchedulerTest {
    private static final long GANG_HOLD_AND_BOOT = 30 * SECOND;

    private final PlacementFixture fixture = new PlacementFixture();
    private final GangScheduler scheduler = new GangScheduler(
            fixture.config, fixture.fleet, fixture.rules, fixture.tasks, new MachineScorer(fixture.rules));
    private final List<Machine> machines = new ArrayList<>();
    private final ActiveJob gang =
            fixture.gang("gang", Priority.STANDARD).tasks(2).cpuMillis(2 * CPU).build();

    GangSchedulerTest() {
        for (String id : List.of("m1", "m2", "m3")) {
            machines.add(fixture.addMachine(id, false));
        }
        gang.confirmClaim(2);
    }

    private void fillMachines() {
        ActiveJob batch =
                fixture.batch("batch", Priority.STANDARD).cpuMillis(3 * CPU).build();
        machines.forEach(machine -> fixture.addRunningTask(batch, machine, SECOND));
    }

    private long reserved() {
        return machines.stream()
                .filter(machine -> machine.reservedFor() == gang)
                .count();
    }

    @Test
    void itStartsWhole() {
        scheduler.schedule(gang, machines, NOW);
        assertEquals(2, gang.placements().size());
        assertEquals(0, reserved());
    }

    @Test
    void whereItDoesNotFitAThirdOfTheMachinesIsReserved() {
        fillMachines();
        scheduler.schedule(gang, machines, NOW);
        assertFalse(gang.hasPlacements());
        assertEquals(1, reserved());
    }

    @Test
    void aReservationEndsAfterTheHoldAndTheLongestBoot() {
        fillMachines();
        scheduler.schedule(gang, machines, NOW);
        scheduler.releaseEndedReservations(NOW + GANG_HOLD_AND_BOOT);
        assertEquals(1, reserved());
        scheduler.releaseEndedReservations(NOW + GANG_HOLD_AND_BOOT + 1);
        assertEquals(0, reserved());
    }
}
