package org.granitepath.coordination.scheduling;

import static org.granitepath.coordination.placement.PlacementFixture.CPU;
import static org.granitepath.coordination.placement.PlacementFixture.NOW;
import static org.granitepath.coordination.placement.PlacementFixture.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import org.granitepath.coordination.fleet.MachineLifecycle;
import org.granitepath.coordination.model.ActiveJob;
import org.granitepath.coordination.model.Machine;
import org.granitepath.coordination.model.Placement;
import org.granitepath.coordination.placement.PlacementFixture;
import org.granitepath.storage.Priority;
import org.junit.jupiter.api.Test;

/**
 * Tests which machines are drained. Of two machines with four CPUs each, one hosts one replica with one CPU and the
 * other hosts two such replicas.
 */
class ConsolidatorTest {
    private static final long INTERVAL_MICROS = 4 * SECOND;
    private static final long MIN_RUNTIME_MICROS = 40 * SECOND;

    private final PlacementFixture fixture = new PlacementFixture();
    private final Consolidator consolidator = new Consolidator(
            fixture.fleet,
            fixture.jobs,
            new MachineLifecycle(
                    fixture.fleet, null, fixture.tasks, fixture.recovery, fixture.faults, null, null, null),
            fixture.tasks);
    private final Machine emptier = fixture.addMachine("emptier", false);
    private final Machine fuller = fixture.addMachine("fuller", false);

    private ActiveJob service(String id, int tasks) {
        return fixture.service(id, Priority.STANDARD).tasks(tasks).build();
    }

    private Placement addReplicas(long ranMicros) {
        ActiveJob service = service("service", 3);
        Placement onEmptier = fixture.addRunningTask(service, emptier, ranMicros);
        fixture.addRunningTask(service, fuller, ranMicros);
        fixture.addRunningTask(service, fuller, ranMicros);
        return onEmptier;
    }

    @Test
    void replicasOfTheLeastUsedMachineAreMoved() {
        Placement onEmptier = addReplicas(MIN_RUNTIME_MICROS);
        consolidator.consolidateIfDue(NOW);
        assertEquals(Machine.Phase.DRAINING, emptier.phase());
        assertEquals(Placement.Phase.STOPPING, onEmptier.phase());
        assertEquals(Machine.Phase.READY, fuller.phase());
    }

    @Test
    void noReplicaIsMovedWhileATaskIsWaiting() {
        addReplicas(MIN_RUNTIME_MICROS);
        service("waiting", 1);
        consolidator.consolidateIfDue(NOW);
        assertEquals(Machine.Phase.READY, emptier.phase());
    }

    @Test
    void machineWithBatchTaskIsNotDrained() {
        addReplicas(MIN_RUNTIME_MICROS);
        ActiveJob batch = fixture.batch("batch", Priority.STANDARD)
                .tasks(1)
                .cpuMillis(CPU / 2)
                .build();
        fixture.addRunningTask(batch, emptier, MIN_RUNTIME_MICROS);
        consolidator.consolidateIfDue(NOW);
        assertEquals(Machine.Phase.READY, emptier.phase());
    }

    @Test
    void replicaIsNotMovedBeforeTheMinimumRunTime() {
        addReplicas(MIN_RUNTIME_MICROS - 1);
        consolidator.consolidateIfDue(NOW);
        assertEquals(Machine.Phase.READY, emptier.phase());
    }

    @Test
    void roundsRunEveryFourSeconds() {
        addReplicas(MIN_RUNTIME_MICROS - 1);
        consolidator.consolidateIfDue(NOW);
        consolidator.consolidateIfDue(NOW + INTERVAL_MICROS - 1);
        assertEquals(Machine.Phase.READY, emptier.phase());
        consolidator.consolidateIfDue(NOW + INTERVAL_MICROS);
        assertEquals(Machine.Phase.DRAINING, emptier.phase());
    }

    @Test
    void replicaThatFitsOnNoOtherMachineIsNotMoved() {
        ActiveJob service = fixture.service("service", Priority.STANDARD)
                .tasks(2)
                .cpuMillis(2 * CPU)
                .build();
        fixture.addRunningTask(service, emptier, MIN_RUNTIME_MICROS);
        fixture.addRunningTask(service, fuller, MIN_RUNTIME_MICROS);
        fixture.addRunningTask(service("small", 1), fuller, MIN_RUNTIME_MICROS);
        consolidator.consolidateIfDue(NOW);
        assertEquals(Machine.Phase.READY, emptier.phase());
    }

    @Test
    void smallFleetDrainsOneMachineAtATime() {
        addReplicas(MIN_RUNTIME_MICROS);
        Machine third = fixture.addMachine("third", false);
        fixture.addRunningTask(service("other", 1), third, MIN_RUNTIME_MICROS);

        consolidator.consolidateIfDue(NOW);
        consolidator.consolidateIfDue(NOW + INTERVAL_MICROS);

        assertEquals(Machine.Phase.DRAINING, emptier.phase());
        assertEquals(Machine.Phase.READY, third.phase(), "the replica of the first machine is still stopping");
    }
}
