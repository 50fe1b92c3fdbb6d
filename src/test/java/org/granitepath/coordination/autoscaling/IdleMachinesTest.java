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

/** Tests which idle machines are released. Machines have four CPUs, boot in 20 s and are idle since {@code NOW}. */
class IdleMachinesTest {
    /** Half the boot time, according to the default settings. */
    private static final long IDLE_MICROS = 10 * SECOND;
    /** Seven tenths of the boot time, according to the default settings. */
    private static final long SPOT_IDLE_MICROS = 14 * SECOND;

    private static final long UNKNOWN_TYPE_IDLE_MICROS = 30 * SECOND;
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

    private Machine machineLaunchedLongAgo(String id, boolean spot) {
        Machine machine = fixture.addMachine(id, spot);
        machine.setLaunchedMicros(LONG_AGO);
        return machine;
    }

    private boolean releasedAfter(Machine machine, long idleMicros) {
        idleMachines.refresh();
        return idleMachines.releaseIfUnneeded(machine, NOW + idleMicros);
    }

    private void assertReleasedAfter(Machine machine, long idleMicros) {
        assertFalse(releasedAfter(machine, idleMicros));
        assertTrue(releasedAfter(machine, idleMicros + 1));
    }

    @Test
    void releasesAfterShareOfBootTime() {
        assertReleasedAfter(machineLaunchedLongAgo("m", false), IDLE_MICROS);
    }

    @Test
    void releasesSpotInstancesLater() {
        assertReleasedAfter(machineLaunchedLongAgo("m", true), SPOT_IDLE_MICROS);
    }

    @Test
    void releasesAfterFixedTimeIfBootTimeIsUnknown() {
        Machine machine = new Machine("m", "m:1", "unknown", "a", false);
        machine.confirmTasks();
        machine.recordHeartbeat(true, NOW);
        machine.setLaunchedMicros(LONG_AGO);
        assertReleasedAfter(machine, UNKNOWN_TYPE_IDLE_MICROS);
    }

    @Test
    void keepsMachineUntilMinimumChargeIsUsedUp() {
        assertReleasedAfter(fixture.addMachine("launched-now", false), Machine.MINIMUM_CHARGE_MICROS);
    }

    @Test
    void keepsMachineWithTask() {
        Machine machine = machineLaunchedLongAgo("m", false);
        fixture.addRunningTask(fixture.batch("batch", Priority.STANDARD).build(), machine, SECOND);
        assertFalse(releasedAfter(machine, IDLE_MICROS + 1));
    }

    @Test
    void keepsMachineReservedForGang() {
        Machine machine = machineLaunchedLongAgo("m", false);
        machine.reserveFor(fixture.gang("gang", Priority.STANDARD).build());
        assertFalse(releasedAfter(machine, IDLE_MICROS + 1));
    }

    @Test
    void keepsMachineWithUnconfirmedTasks() {
        Machine machine = machineLaunchedLongAgo("m", false);
        machine.markUnconfirmed(NOW, "test");
        assertFalse(releasedAfter(machine, IDLE_MICROS + 1));
    }

    @Test
    void keepsHeadroomForLiveServices() {
        spareHeadroom.update(2 * 4 * CPU - 1);
        Machine first = machineLaunchedLongAgo("m1", false);
        Machine second = machineLaunchedLongAgo("m2", false);

        assertTrue(releasedAfter(first, IDLE_MICROS + 1));
        assertFalse(first.isHeadroom());

        assertFalse(releasedAfter(second, IDLE_MICROS + 1));
        assertTrue(second.isHeadroom());
    }

    @Test
    void releasesSpotInstancesDespiteMissingHeadroom() {
        spareHeadroom.update(0);
        Machine machine = machineLaunchedLongAgo("m", true);
        assertTrue(releasedAfter(machine, SPOT_IDLE_MICROS + 1));
        assertFalse(machine.isHeadroom());
    }

    @Test
    void usedMachineIsNoLongerHeadroom() {
        spareHeadroom.update(0);
        Machine machine = machineLaunchedLongAgo("m", false);
        releasedAfter(machine, IDLE_MICROS + 1);
        assertTrue(machine.isHeadroom());

        fixture.addRunningTask(fixture.batch("batch", Priority.STANDARD).build(), machine, SECOND);
        releasedAfter(machine, IDLE_MICROS + 1);

        assertFalse(machine.isHeadroom());
    }

    @Test
    void keepsHeadroomForGangs() {
        fixture.gang("gang", Priority.STANDARD).jobClass(URGENT_CLASS).tasks(4).build();
        planner.updateIfDue(NOW);
        Machine first = machineLaunchedLongAgo("m1", false);
        Machine second = machineLaunchedLongAgo("m2", false);
        idleMachines.refresh();

        assertTrue(idleMachines.releaseIfUnneeded(first, NOW + IDLE_MICROS + 1));
        assertFalse(idleMachines.releaseIfUnneeded(second, NOW + IDLE_MICROS + 1));
    }

    @Test
    void keepsAllMachinesWhileRecoveryHoldsBatchWork() {
        Machine machine = machineLaunchedLongAgo("m", false);
        recoveryPlan.takeOverMachine("awaited", machine.profile());
        recoveryPlan.onRecordsRead(1, NOW);
        assertFalse(releasedAfter(machine, IDLE_MICROS + 1));
    }
}
