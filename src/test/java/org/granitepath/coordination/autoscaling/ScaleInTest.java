package org.granitepath.coordination.autoscaling;

import static org.granitepath.coordination.placement.PlacementFixture.NOW;
import static org.granitepath.coordination.placement.PlacementFixture.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.granitepath.coordination.fleet.FailureDetector;
import org.granitepath.coordination.gang.GangHeadroom;
import org.granitepath.coordination.leadership.Peers;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.granitepath.coordination.placement.BatchPlanner;
import org.granitepath.coordination.placement.PlacementFixture;
import org.granitepath.storage.Priority;
import org.junit.jupiter.api.Test;

/**
 * Tests which machines are chosen for termination. {@link MachineFailuresTest} and {@link IdleMachinesTest} test when a
 * machine counts as failed or idle.
 */
class ScaleInTest {
    private static final long BOOT_FAILURE_MICROS = 3 * Examples.BOOT_MICROS + 30 * SECOND;

    private final PlacementFixture fixture = new PlacementFixture();
    private final BootingMachines booting = new BootingMachines();
    private final ScaleIn scaleIn = new ScaleIn(
            fixture.config,
            fixture.fleet,
            booting,
            new FailureDetector(
                    fixture.config, fixture.fleet, new Peers(fixture.config, null, fixture.timers, () -> null)),
            new SpareHeadroom(),
            new GangHeadroom(
                    fixture.fleet,
                    new BatchPlanner(fixture.config, fixture.fleet, fixture.jobs, fixture.runtimeEstimator)),
            fixture.recovery);

    private void addBootingMachine(String id, long launchedMicros) {
        booting.add(new BootingMachine(id, Examples.TYPE, "a", false, launchedMicros));
    }

    private Machine drainedMachine(String id) {
        Machine machine = fixture.addMachine(id, false);
        machine.drain("test");
        return machine;
    }

    @Test
    void keepsMachineInUse() {
        fixture.addRunningTask(
                fixture.batch("batch", Priority.STANDARD).build(), fixture.addMachine("m", false), SECOND);
        assertEquals(List.of(), scaleIn.chooseMachines(NOW));
    }

    @Test
    void choosesMachineThatFailedToBoot() {
        addBootingMachine("late", NOW - BOOT_FAILURE_MICROS);
        addBootingMachine("failed", NOW - BOOT_FAILURE_MICROS - 1);
        assertEquals(List.of("failed"), scaleIn.chooseMachines(NOW));
    }

    @Test
    void choosesQuarantinedMachineOnceItIsEmpty() {
        Machine machine = fixture.addMachine("m", false);
        ActiveJob service = fixture.service("service", Priority.CRITICAL).build();
        Placement replica = fixture.addRunningTask(service, machine, SECOND);
        machine.quarantine("test");
        assertEquals(List.of(), scaleIn.chooseMachines(NOW));
        fixture.tasks.free(replica, "test");
        assertEquals(List.of("m"), scaleIn.chooseMachines(NOW));
    }

    @Test
    void choosesUnneededMachine() {
        Machine machine = fixture.addMachine("idle", false);
        long laterMicros = NOW + Machine.MINIMUM_CHARGE_MICROS + 1;
        machine.recordHeartbeat(false, laterMicros);
        assertEquals(List.of("idle"), scaleIn.chooseMachines(laterMicros));
        assertEquals(Machine.Phase.TERMINATING, machine.phase());
    }

    @Test
    void choosesUnresponsiveMachineWithRunningTask() {
        Machine machine = fixture.addMachine("m", false);
        fixture.addRunningTask(fixture.batch("batch", Priority.STANDARD).build(), machine, SECOND);
        long leaseMicros = fixture.config.workers().leaseMicros();
        assertEquals(List.of("m"), scaleIn.chooseMachines(NOW + leaseMicros + 1));
        assertEquals(Machine.Phase.TERMINATING, machine.phase());
    }

    @Test
    void choosesDrainedMachineOnlyWhenEmpty() {
        Machine busy = fixture.addMachine("busy", false);
        fixture.addRunningTask(fixture.batch("batch", Priority.STANDARD).build(), busy, SECOND);
        busy.drain("test");
        drainedMachine("empty");
        assertEquals(List.of("empty"), scaleIn.chooseMachines(NOW));
    }

    @Test
    void choosesMachineAgainUntilTerminated() {
        drainedMachine("m");
        scaleIn.chooseMachines(NOW);
        assertEquals(List.of("m"), scaleIn.chooseMachines(NOW));
    }

    @Test
    void choosesAtMostOneRequestOfMachines() {
        List<String> expected = new ArrayList<>();
        for (int number = 0; number < 60; number++) {
            addBootingMachine("failed" + number, NOW - BOOT_FAILURE_MICROS - 1);
            expected.add("failed" + number);
        }
        for (int number = 0; number < 60; number++) {
            drainedMachine("drained" + number);
            if (expected.size() < 100) {
                expected.add("drained" + number);
            }
        }
        assertEquals(expected, scaleIn.chooseMachines(NOW));
        assertEquals(
                Machine.Phase.DRAINING, fixture.fleet.machine("drained59").phase(), "the machine is not chosen yet");
    }
}
