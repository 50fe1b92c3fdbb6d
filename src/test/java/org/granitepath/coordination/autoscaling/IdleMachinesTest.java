package org.granitepath.coordination.autoscaling;

import static org.granitepath.coordination.placement.PlacementFixture.CPU;
import static org.granitepath.coordination.placement.PlacementFixture.NOW;
import static org.granitepath.coordination.placement.PlacementFixture.SECOND;
import static org.granitepath.coordination.placement.PlacementFixture.URGENT_CLASS;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.granitepath.coordination.gang.GangHeadroom;
import org.granitepath.coordination.jobs.TermRecovery;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.placement.BatchPlanner;
import org.granitepath.coordination.placement.PlacementFixture;
import org.granitepath.recovery.RecoveryPlan;
import org.granitepath.recovery.RecoveryTracer;
import org.granitepath.storage.Priority;
import org.junit.jupiter.api.Test;

/** Which idle machines are released. Machines have four CPUs, boot for 20 s and are idle since {@code NOW}. */
class IdleMachinesTest {
    /** Half a boot time, by the default settings. */
    private static final long IDLE = 10 * SECOND;
    /** Seven tenths of a boot time, by the default settings. */
    private static final long IDLE_SPOT = 14 * SECOND;

    private static final long UNKNOWN_TYPE_IDLE = 30 * SECOND;
    private static final long LONG_AGO = NOW - 3_600 * SECOND;

    private final PlacementFixture fixture = new PlacementFixture();
    private final BatchPlanner planner =
            new BatchPlanner(fixture.config, fixture.fleet, fixture.jobs, fixture.runtimeEstimator);
    private final SpareHeadroom spareHeadroom = new SpareHeadroom();
    private final RecoveryPlan recoveryPlan = new RecoveryPlan(1, 60 * SECOND, RecoveryTracer.NONE);
    private final IdleMachines idleMachines = new IdleMachines(
            fixture.config.tuning().scaling(),
            spareHeadroom,
            new GangHeadroom(fixture.fleet, planner),
            new TermRecovery(recoveryPlan, fixture.jobs, null, null));

    private Machine paidMachine(String id, boolean spot) {
        Machine machine = fixture.addMachine(id, spot);
        machine.setLaunchedMicros(LONG_AGO);
        return machine;
    }

    private boolean releasedAfter(Machine machine, long idleMicros) {
        idleMachines.survey();
        return idleMachines.releases(machine, NOW + idleMicros);
    }

    private void assertReleasedAfter(Machine machine, long idleMicros) {
        assertFalse(releasedAfter(machine, idleMicros));
        assertTrue(releasedAfter(machine, idleMicros + 1));
    }

    @Test
    void afterAShareOfTheBootTime() {
        assertReleasedAfter(paidMachine("m", false), IDLE);
    }

    @Test
    void laterOnSpotInstances() {
        assertReleasedAfter(paidMachine("m", true), IDLE_SPOT);
    }

    @Test
    void afterAFixedTimeWhereTheBootTimeIsUnknown() {
        Machine machine = new Machine("m", "m:1", "unknown", "a", false);
        machine.confirmTasks();
        machine.recordHeartbeat(true, NOW);
        machine.setLaunchedMicros(LONG_AGO);
        assertReleasedAfter(machine, UNKNOWN_TYPE_IDLE);
    }

    @Test
    void notBeforeTheMinimumChargeIsUsedUp() {
        assertReleasedAfter(fixture.addMachine("launched-now", false), Machine.MINIMUM_CHARGE_MICROS);
    }

    @Test
    void notWithATask() {
        Machine machine = paidMachine("m", false);
        fixture.addRunningTask(fixture.batch("batch", Priority.STANDARD).build(), machine, SECOND);
        assertFalse(releasedAfter(machine, IDLE + 1));
    }

    @Test
    void notWhileItIsReservedForAGang() {
        Machine machine = paidMachine("m", false);
        machine.reserveFor(fixture.gang("gang", Priority.STANDARD).build());
        assertFalse(releasedAfter(machine, IDLE + 1));
    }

    @Test
    void notWhileItsTasksAreUnconfirmed() {
        Machine machine = paidMachine("m", false);
        machine.markUnconfirmed(NOW, "test");
        assertFalse(releasedAfter(machine, IDLE + 1));
    }

    @Test
    void notBelowTheHeadroomForLiveServices() {
        spareHeadroom.update(2 * 4 * CPU - 1);
        Machine first = paidMachine("m1", false);
        Machine second = paidMachine("m2", false);

        assertTrue(releasedAfter(first, IDLE + 1));
        assertFalse(first.isHeadroom());

        assertFalse(releasedAfter(second, IDLE + 1));
        assertTrue(second.isHeadroom());
    }

    @Test
    void spotInstancesAreNoHeadroomForLiveServices() {
        spareHeadroom.update(0);
        Machine machine = paidMachine("m", true);
        assertTrue(releasedAfter(machine, IDLE_SPOT + 1));
        assertFalse(machine.isHeadroom());
    }

    @Test
    void aMachineThatIsUsedAgainIsNoHeadroomAnyMore() {
        spareHeadroom.update(0);
        Machine machine = paidMachine("m", false);
        releasedAfter(machine, IDLE + 1);
        assertTrue(machine.isHeadroom());

        fixture.addRunningTask(fixture.batch("batch", Priority.STANDARD).build(), machine, SECOND);
        releasedAfter(machine, IDLE + 1);

        assertFalse(machine.isHeadroom());
    }

    @Test
    void notBelowTheHeadroomForGangs() {
        fixture.gang("gang", Priority.STANDARD).jobClass(URGENT_CLASS).tasks(4).build();
        planner.updateIfDue(NOW);
        Machine first = paidMachine("m1", false);
        Machine second = paidMachine("m2", false);
        idleMachines.survey();

        assertTrue(idleMachines.releases(first, NOW + IDLE + 1));
        assertFalse(idleMachines.releases(second, NOW + IDLE + 1));
    }

    @Test
    void notWhileARecoveryHoldsBatchWork() {
        Machine machine = paidMachine("m", false);
        recoveryPlan.takeOverMachine("awaited", machine.profile());
        recoveryPlan.onRecordsRead(1, NOW);
        assertFalse(releasedAfter(machine, IDLE + 1));
    }
}
