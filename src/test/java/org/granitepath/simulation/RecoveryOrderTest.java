package org.granitepath.simulation;

import static org.granitepath.simulation.RecoveryScenarios.HOLD;
import static org.granitepath.simulation.RecoveryScenarios.RESTART;
import static org.granitepath.simulation.RecoveryScenarios.busy;
import static org.granitepath.simulation.RecoveryScenarios.restart;
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
        Simulation simulation = busy(seed);

        simulation.after(RESTART, () -> {
            restart(simulation, seed % 2 == 0);
            endAllWork(simulation);
        });
        simulation.run(RESTART + 30 * SECOND, 400 * SECOND);

        assertRulesAndAllDone(simulation);
        List<SimCommands.Start> starts = simulation.commands.startsSince(RESTART);
        List<Boolean> liveWorkBacklog =
                starts.stream().map(start -> isService(simulation, start)).toList();
        int firstBatch = liveWorkBacklog.indexOf(false);
        assertTrue(firstBatch >= 0, "nothing to put in order");
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
                .forEach(worker -> simulation.faults.cutMachine(worker, World.Cut.DROP, 9 * SECOND));
    }

    private static boolean isService(Simulation simulation, SimCommands.Start start) {
        return simulation.users.describedAs(start.task().job()).service();
    }

    /** Without a hold the same restart starts batch tasks before some services, so the hold causes the order above. */
    @Test
    void batchWorkStartsAmongServicesWithoutHold() {
        int mixed = 0;
        for (long seed = 1; seed <= 6; seed++) {
            Simulation simulation = busy(seed);
            simulation.recoveryHold = 0;
            simulation.after(RESTART, () -> {
                simulation.faults.crashAll(SECOND);
                endAllWork(simulation);
            });
            simulation.run(RESTART + 30 * SECOND);
            List<Boolean> services = simulation.commands.startsSince(RESTART).stream()
                    .map(start -> isService(simulation, start))
                    .toList();
            mixed += services.indexOf(false) < services.lastIndexOf(true) ? 1 : 0;
        }
        assertTrue(mixed > 0, "the order comes by itself");
    }

    /** Machines that stay unresponsive delay batch work no longer than the hold, and live work not at all. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void unresponsiveMachinesDelayBatchWorkNoLongerThanTheHold(long seed) {
        Simulation simulation = busy(seed);

        simulation.after(RESTART, () -> {
            restart(simulation, false);
            List<SimWorker> all = simulation.cloud.workers();
            all.stream()
                    .filter(worker -> worker.runs().live().stream()
                            .anyMatch(run ->
                                    simulation.users.describedAs(run.task.job()).service()))
                    .limit(2)
                    .forEach(worker -> simulation.faults.cutMachine(worker, World.Cut.DROP, 90 * SECOND));
            all.forEach(worker -> worker.endTasks(spec -> !spec.service(), ExitCause.STOPPED));
        });
        simulation.run(RESTART + 30 * SECOND);

        List<SimCommands.Start> batch = simulation.commands.startsSince(RESTART).stream()
                .filter(start -> !isService(simulation, start))
                .toList();
        assertFalse(batch.isEmpty(), "batch work waits for unresponsive machines");
        assertTrue(
                batch.get(0).at() < RESTART + HOLD + 12 * SECOND,
                "the first batch task started " + (batch.get(0).at() - RESTART) / 1e6 + " s after the restart");

        simulation.run(RESTART + 90 * SECOND, 500 * SECOND);

        assertRulesAndAllDone(simulation);
    }

    /** A replica lost on a responsive machine does not wait for unresponsive machines that it may not run on. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void servicesDoNotWaitForUnresponsiveSpotMachines(long seed) {
        Simulation simulation = busy(seed);

        simulation.after(RESTART, () -> {
            restart(simulation, false);
            List<SimWorker> spot = simulation.cloud.workers().stream()
                    .filter(worker -> worker.spot)
                    .toList();
            assertFalse(spot.isEmpty());
            spot.forEach(worker -> simulation.faults.cutMachine(worker, World.Cut.HOLD, 60 * SECOND));
            simulation.cloud.workers().forEach(worker -> worker.endTasks(JobSpec::service, ExitCause.STOPPED));
        });
        simulation.run(RESTART + Simulation.LEASE);

        RecoveryStatus status = simulation.recovery();
        assertNotNull(status);
        assertTrue(status.awaitedMachineCount() > 0, "no machine is unresponsive");
        long replicas = simulation.commands.startsSince(RESTART).stream()
                .filter(start -> isService(simulation, start))
                .map(SimCommands.Start::task)
                .distinct()
                .count();
        assertEquals(6 * 6, replicas, "replicas that wait for machines which can't hold them");

        simulation.run(RESTART + 60 * SECOND, 500 * SECOND);

        assertRulesAndAllDone(simulation);
    }
}
