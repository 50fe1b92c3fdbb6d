package org.granitepath.coordination.placement;

import static org.granitepath.coordination.placement.PlacementFixture.CPU;
import static org.granitepath.coordination.placement.PlacementFixture.NOW;
import static org.granitepath.coordination.placement.PlacementFixture.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.granitepath.coordination.config.Team;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.granitepath.storage.Priority;
import org.junit.jupiter.api.Test;

/** Tests which machines a job can use, and the limits and quotas of teams. */
class PlacementRulesTest {
    private final PlacementFixture fixture =
            new PlacementFixture(new Team("t", 2 * CPU, 3 * CPU, 0, 0), new Team("u", 0, 0, 0, 0));
    private final Machine machine = fixture.addMachine("m1", false);
    private final ActiveJob batch = fixture.batch("batch", Priority.STANDARD).build();

    @Test
    void reservedMachineIsOpenToItsGangAndToLiveServices() {
        ActiveJob gang = fixture.batch("gang", Priority.STANDARD).build();
        ActiveJob live = fixture.service("live", Priority.CRITICAL).build();
        assertTrue(fixture.rules.respectsReservation(machine, batch));
        machine.reserveFor(gang);
        assertFalse(fixture.rules.respectsReservation(machine, batch));
        assertTrue(fixture.rules.respectsReservation(machine, gang));
        assertTrue(fixture.rules.respectsReservation(machine, live));
    }

    @Test
    void drainingMachineSatisfiesConstraintsButIsNotEligible() {
        assertTrue(fixture.rules.isEligible(machine, batch, NOW));
        machine.drain("test");
        assertTrue(fixture.rules.satisfiesConstraints(machine, batch, NOW));
        assertFalse(fixture.rules.isEligible(machine, batch, NOW));
    }

    @Test
    void quarantinedMachineIsNotEligibleUntilItsQuarantineEnds() {
        machine.quarantine("test");
        assertFalse(fixture.rules.isEligible(machine, batch, NOW));
        machine.endQuarantine("test");
        assertTrue(fixture.rules.isEligible(machine, batch, NOW));
    }

    @Test
    void unresponsiveMachineIsNotEligible() {
        assertFalse(fixture.rules.isEligible(machine, batch, NOW + 60 * SECOND));
    }

    @Test
    void deferrableJobDoesNotUseOnDemandMachine() {
        batch.scheduling().setDeferrable(true);
        long minimumChargeOver = NOW + Machine.MINIMUM_CHARGE_MICROS;
        assertFalse(fixture.rules.satisfiesConstraints(machine, batch, minimumChargeOver));
        assertTrue(fixture.rules.satisfiesConstraints(fixture.addMachine("spot", true), batch, minimumChargeOver));
    }

    @Test
    void teamLimitCountsAllRequestedTasksTogether() {
        fixture.addRunningTask(batch, machine, SECOND);
        assertTrue(fixture.rules.isWithinTeamLimit(batch.spec(), 2));
        assertFalse(fixture.rules.isWithinTeamLimit(batch.spec(), 3));
    }

    @Test
    void borrowedCpuExceedsTheQuotaAndExcludesStoppingTasks() {
        fixture.addRunningTask(batch, machine, SECOND);
        fixture.addRunningTask(batch, machine, SECOND);
        Placement third = fixture.addRunningTask(batch, machine, SECOND);
        assertEquals(CPU, fixture.rules.reclaimableCpuMillis("t"));
        fixture.tasks.stop(third, 0, "test");
        assertEquals(0, fixture.rules.reclaimableCpuMillis("t"));
    }
}
