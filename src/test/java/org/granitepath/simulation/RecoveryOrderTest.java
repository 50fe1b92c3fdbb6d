package org.granitepath.simulation;

import static org.granitepath.simulation.RecoveryScenarios.RECOVERY_HOLD_MICROS;
import static org.granitepath.simulation.RecoveryScenarios.RESTART_MICROS;
import static org.granitepath.simulation.RecoveryScenarios.busyDeployment;
import static org.granitepath.simulation.RecoveryScenarios.restartControllers;
import static org.granitepath.simulation.SimulationAssertions.assertRulesAndAllDone;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.granitepath.coordination.ports.Heartbeat.ExitCause;
import org.granitepath.recovery.RecoveryStatus;
import org.granitepath.storage.JobSpec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The order in which lost work starts again after all controllers restart while the machines keep running. */
class RecoveryOrderTest {
    private static final long SECOND = Simulation.SECOND;

    /** Replicas that their machines report as ended during the downtime start again before any batch task does. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void servicesResumeBeforeBatchWork(long seed) {
        Simulation simulation = busyDeployment(seed);

        simulation.after(RESTART_MICROS, () -> {
            restartControllers(simulation, seed % 2 == 0);
            endAllWork(simulation);
        });
        simulation.runWithLivenessChecks(RESTART_MICROS + 30 * SECOND, 400 * SECOND);

        assertRulesAndAllDone(simulation);
        List<SimCommands.Start> starts = simulation.commands.startsSince(RESTART_MICROS);
        List<Boolean> startsOfServices =
                starts.stream().map(start -> isService(simulation, start)).toList();
        int firstBatch = startsOfServices.indexOf(false);
        assertTrue(firstBatch >= 0, "no batch task was started");
        long replicas = starts.subList(0, firstBatch).stream()
                .map(SimCommands.Start::task)
                .distinct()
                .count();
        assertEquals(6 * 6, replicas, "replicas started before the first batch task");
    }

    /** Ends all tasks, submits new jobs, and cuts off one machine, which may hold replicas, for a few seconds. */
    private static void endAllWork(Simulation simulation) {
        simulation.after(2 * SECOND, () -> {
            for (int i = 0; i < 3; i++) {
                simulation.users.submit(simulation.jobs.batch(40, 20 * SECOND));
            }
        });
        simulation.cloud.workers().forEach(worker -> worker.endTasks(spec -> true, ExitCause.STOPPED));
        simulation.cloud.workers().stream()
                .filter(worker -> !worker.spot)
                .limit(1)
                .forEach(worker ->
                        simulation.faults.partitionMachine(worker, SimEnvironment.PartitionMode.DROP, 9 * SECOND));
    }

    private static boolean isService(Simulation simulation, SimCommands.Start start) {
        return simulation.users.specOf(start.task().job()).isService();
    }

    /** Without a hold the same restart starts batch tasks before some services, so the hold causes the order above. */
    @Test
    void batchWorkStartsAmongServicesWithoutHold() {
        int mixedRuns = 0;
        for (long seed = 1; seed <= 6; seed++) {
            Simulation simulation = busyDeployment(seed);
            simulation.recoveryHoldMicros = 0;
            simulation.after(RESTART_MICROS, () -> {
                simulation.faults.crashAll(SECOND);
                endAllWork(simulation);
            });
            simulation.run(RESTART_MICROS + 30 * SECOND);
            List<Boolean> services = simulation.commands.startsSince(RESTART_MICROS).stream()
                    .map(start -> isService(simulation, start))
                    .toList();
            mixedRuns += services.indexOf(false) < services.lastIndexOf(true) ? 1 : 0;
        }
        assertTrue(mixedRuns > 0, "services start first even without a hold");
    }

    /** Machines that stay unresponsive delay batch work no longer than the hold, and live work not at all. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void unresponsiveMachinesDelayBatchWorkNoLongerThanTheHold(long seed) {
        Simulation simulation = busyDeployment(seed);

        simulation.after(RESTART_MICROS, () -> {
            restartControllers(simulation, false);
            List<SimWorker> all = simulation.cloud.workers();
            all.stream()
                    .filter(worker -> worker.attempts().active().stream()
                            .anyMatch(attempt ->
                                    simulation.users.specOf(attempt.task.job()).isService()))
                    .limit(2)
                    .forEach(worker ->
                            simulation.faults.partitionMachine(worker, SimEnvironment.PartitionMode.DROP, 90 * SECOND));
            all.forEach(worker -> worker.endTasks(spec -> !spec.isService(), ExitCause.STOPPED));
        });
        simulation.run(RESTART_MICROS + 30 * SECOND);

        List<SimCommands.Start> batch = simulation.commands.startsSince(RESTART_MICROS).stream()
                .filter(start -> !isService(simulation, start))
                .toList();
        assertFalse(batch.isEmpty(), "batch work waits for unresponsive machines");
        assertTrue(
                batch.get(0).sentMicros() < RESTART_MICROS + RECOVERY_HOLD_MICROS + 12 * SECOND,
                "the first batch task started " + (batch.get(0).sentMicros() - RESTART_MICROS) / 1e6
                        + " s after the restart");

        simulation.runWithLivenessChecks(RESTART_MICROS + 90 * SECOND, 500 * SECOND);

        assertRulesAndAllDone(simulation);
    }

    /** A replica lost on a responsive machine does not wait for unresponsive machines that it may not run on. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void servicesDoNotWaitForUnresponsiveSpotMachines(long seed) {
        Simulation simulation = busyDeployment(seed);

        simulation.after(RESTART_MICROS, () -> {
            restartControllers(simulation, false);
            List<SimWorker> spot = simulation.cloud.workers().stream()
                    .filter(worker -> worker.spot)
                    .toList();
            assertFalse(spot.isEmpty());
            spot.forEach(worker ->
                    simulation.faults.partitionMachine(worker, SimEnvironment.PartitionMode.HOLD, 60 * SECOND));
            simulation.cloud.workers().forEach(worker -> worker.endTasks(JobSpec::isService, ExitCause.STOPPED));
        });
        simulation.run(RESTART_MICROS + Simulation.LEASE_MICROS);

        RecoveryStatus status = simulation.recoveryStatus();
        assertNotNull(status);
        assertTrue(status.awaitedMachineCount() > 0, "no machine is unresponsive");
        long replicas = simulation.commands.startsSince(RESTART_MICROS).stream()
                .filter(start -> isService(simulation, start))
                .map(SimCommands.Start::task)
                .distinct()
                .count();
        assertEquals(6 * 6, replicas, "replicas that wait for machines which can't hold them");

        simulation.runWithLivenessChecks(RESTART_MICROS + 60 * SECOND, 500 * SECOND);

        assertRulesAndAllDone(simulation);
    }
}
