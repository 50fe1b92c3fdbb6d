package org.granitepath.coordination.autoscaling;

import static org.granitepath.coordination.placement.PlacementFixture.NOW;
import static org.granitepath.coordination.placement.PlacementFixture.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.granitepath.coordination.fleet.FailureDetector;
import org.granitepath.coordination.gang.GangHeadroom;
import org.granitepath.coordination.leadership.Peers;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.placement.BatchPlanner;
import org.granitepath.coordination.placement.PlacementFixture;
import org.granitepath.storage.Priority;
import org.junit.jupiter.api.Test;

/** Which machines the cloud is asked to take. When a machine counts as failed or idle is tested by itself. */
class ScaleInTest {
    private static final long FAILED_BOOT = 3 * Examples.BOOT_MICROS + 30 * SECOND;

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

    private void boots(String id, long launchedMicros) {
        booting.add(new BootingMachine(id, Examples.TYPE, "a", false, launchedMicros));
    }

    private Machine drained(String id) {
        Machine machine = fixture.addMachine(id, false);
        machine.drain("test");
        return machine;
    }

    @Test
    void aMachineInUseIsKept() {
        fixture.addRunningTask(
                fixture.batch("batch", Priority.STANDARD).build(), fixture.addMachine("m", false), SECOND);
        assertEquals(List.of(), scaleIn.choose(NOW));
    }

    @Test
    void aMachineThatFailedToBootIsChosen() {
        boots("late", NOW - FAILED_BOOT);
        boots("failed", NOW - FAILED_BOOT - 1);
        assertEquals(List.of("failed"), scaleIn.choose(NOW));
    }

    @Test
    void aMachineThatNothingNeedsIsChosen() {
        Machine machine = fixture.addMachine("idle", false);
        long laterMicros = NOW + Machine.MINIMUM_CHARGE_MICROS + 1;
        machine.recordHeartbeat(false, laterMicros);
        assertEquals(List.of("idle"), scaleIn.choose(laterMicros));
        assertEquals(Machine.Phase.TERMINATING, machine.phase());
    }

    @Test
    void anUnresponsiveMachineIsChosenWhateverRunsThere() {
        Machine machine = fixture.addMachine("m", false);
        fixture.addRunningTask(fixture.batch("batch", Priority.STANDARD).build(), machine, SECOND);
        long leaseMicros = fixture.config.workers().leaseMicros();
        assertEquals(List.of("m"), scaleIn.choose(NOW + leaseMicros + 1));
        assertEquals(Machine.Phase.TERMINATING, machine.phase());
    }

    @Test
    void aDrainedMachineIsChosenOnceItIsEmpty() {
        Machine busy = fixture.addMachine("busy", false);
        fixture.addRunningTask(fixture.batch("batch", Priority.STANDARD).build(), busy, SECOND);
        busy.drain("test");
        drained("empty");
        assertEquals(List.of("empty"), scaleIn.choose(NOW));
    }

    @Test
    void aMachineThatTheCloudHasNotTakenIsChosenAgain() {
        drained("m");
        scaleIn.choose(NOW);
        assertEquals(List.of("m"), scaleIn.choose(NOW));
    }

    @Test
    void noMoreAreChosenThanOneRequestMayName() {
        List<String> expected = new ArrayList<>();
        for (int number = 0; number < 60; number++) {
            boots("failed" + number, NOW - FAILED_BOOT - 1);
            expected.add("failed" + number);
        }
        for (int number = 0; number < 60; number++) {
            drained("drained" + number);
            if (expected.size() < 100) {
                expected.add("drained" + number);
            }
        }
        assertEquals(expected, scaleIn.choose(NOW));
        assertEquals(Machine.Phase.DRAINING, fixture.fleet.machine("drained59").phase(), "it is not asked for yet");
    }
}
