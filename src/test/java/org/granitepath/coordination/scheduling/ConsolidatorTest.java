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

/** Which machines are emptied: of two with four CPUs each, one holds a replica of one CPU and the other two. */
class ConsolidatorTest {
    private static final long INTERVAL = 4 * SECOND;
    private static final long LONG_ENOUGH = 40 * SECOND;

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

    private Placement replicas(long ranMicros) {
        ActiveJob service = service("service", 3);
        Placement onEmptier = fixture.addRunningTask(service, emptier, ranMicros);
        fixture.addRunningTask(service, fuller, ranMicros);
        fixture.addRunningTask(service, fuller, ranMicros);
        return onEmptier;
    }

    @Test
    void theReplicasOfTheEmptiestMachineMove() {
        Placement onEmptier = replicas(LONG_ENOUGH);
        consolidator.consolidateIfDue(NOW);
        assertEquals(Machine.Phase.DRAINING, emptier.phase());
        assertEquals(Placement.Phase.STOPPING, onEmptier.phase());
        assertEquals(Machine.Phase.READY, fuller.phase());
    }

    @Test
    void nothingMovesWhileWorkWaits() {
        replicas(LONG_ENOUGH);
        service("waiting", 1);
        consolidator.consolidateIfDue(NOW);
        assertEquals(Machine.Phase.READY, emptier.phase());
    }

    @Test
    void aMachineWithBatchWorkIsLeftAlone() {
        replicas(LONG_ENOUGH);
        ActiveJob batch = fixture.batch("batch", Priority.STANDARD)
                .tasks(1)
                .cpuMillis(CPU / 2)
                .build();
        fixture.addRunningTask(batch, emptier, LONG_ENOUGH);
        consolidator.consolidateIfDue(NOW);
        assertEquals(Machine.Phase.READY, emptier.phase());
    }

    @Test
    void aReplicaRunsForAWhileBeforeItMoves() {
        replicas(LONG_ENOUGH - 1);
        consolidator.consolidateIfDue(NOW);
        assertEquals(Machine.Phase.READY, emptier.phase());
    }

    @Test
    void machinesAreLookedAtEveryFourSeconds() {
        replicas(LONG_ENOUGH - 1);
        consolidator.consolidateIfDue(NOW);
        consolidator.consolidateIfDue(NOW + INTERVAL - 1);
        assertEquals(Machine.Phase.READY, emptier.phase());
        consolidator.consolidateIfDue(NOW + INTERVAL);
        assertEquals(Machine.Phase.DRAINING, emptier.phase());
    }

    @Test
    void aReplicaThatFitsNowhereElseStays() {
        ActiveJob service = fixture.service("service", Priority.STANDARD)
                .tasks(2)
                .cpuMillis(2 * CPU)
                .build();
        fixture.addRunningTask(service, emptier, LONG_ENOUGH);
        fixture.addRunningTask(service, fuller, LONG_ENOUGH);
        fixture.addRunningTask(service("small", 1), fuller, LONG_ENOUGH);
        consolidator.consolidateIfDue(NOW);
        assertEquals(Machine.Phase.READY, emptier.phase());
    }

    @Test
    void aSmallFleetEmptiesOneMachineAtATime() {
        replicas(LONG_ENOUGH);
        Machine third = fixture.addMachine("third", false);
        fixture.addRunningTask(service("other", 1), third, LONG_ENOUGH);

        consolidator.consolidateIfDue(NOW);
        consolidator.consolidateIfDue(NOW + INTERVAL);

        assertEquals(Machine.Phase.DRAINING, emptier.phase());
        assertEquals(Machine.Phase.READY, third.phase(), "what moves has not found its place yet");
    }
}
