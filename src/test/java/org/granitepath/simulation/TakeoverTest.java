package org.granitepath.simulation;

import static org.granitepath.simulation.FaultScenarios.withRandomJobs;
import static org.granitepath.simulation.SimulationAssertions.assertRulesAndAllDone;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Leaders that crash, hand over, or restart at once. */
class TakeoverTest {
    private static final long SECOND = Simulation.SECOND;

    private static void submitWork(Simulation simulation, int tasksPerBatch) {
        for (int i = 0; i < 8; i++) {
            simulation.users.submit(simulation.jobs.batch(tasksPerBatch, 30 * SECOND));
            simulation.users.submit(simulation.jobs.service(6));
        }
    }

    /** The current leader crashes again and again, in the middle of each takeover. */
    @ParameterizedTest
    @ValueSource(longs = {5, 6, 7})
    void workCompletesWhenLeadersCrashDuringTakeover(long seed) {
        Simulation simulation = withRandomJobs(seed, 30, 120 * SECOND);
        for (int i = 0; i < 12; i++) {
            simulation.after(
                    (20 + 6 * i) * SECOND + simulation.environment.random.nextInt(4_000_000),
                    () -> simulation.faults.crash(
                            simulation.leader(), 500_000 + simulation.environment.random.nextInt(3_000_000)));
        }
        simulation.run(300 * SECOND);

        assertRulesAndAllDone(simulation);
    }

    /** A leader that is the only one to have lost the machines hands them over before their leases expire. */
    @ParameterizedTest
    @ValueSource(longs = {41, 42, 43})
    void leaderCutOffFromItsWorkersStepsDown(long seed) {
        Simulation simulation = new Simulation(seed, 5, 12);
        submitWork(simulation, 100);
        Observation<String> cutOff = new Observation<>();
        simulation.after(50 * SECOND, () -> {
            cutOff.set(simulation.leader());
            simulation.faults.partitionFromWorkers(cutOff.get(), SimEnvironment.PartitionMode.DROP, 60 * SECOND);
        });
        simulation.run(50 * SECOND + Simulation.LEASE_MICROS);

        assertNotEquals(cutOff.get(), simulation.leader(), "the leader that reaches no machine is still the leader");
        // Their heartbeats stop one after the other. The first machines must not be returned before the others show
        // that the leader is cut off.
        assertEquals(List.of(), simulation.cloud.terminatedWhileBusy(), "returned with tasks on them");
        simulation.runWithLivenessChecks(120 * SECOND, 300 * SECOND);

        assertRulesAndAllDone(simulation);
    }

    /**
     * A leader that is cut off from the store still answers its workers, and some machines can't be reached at all. The
     * successor must not treat machines as dead that it has not yet contacted or that still reach the former leader.
     */
    @ParameterizedTest
    @ValueSource(longs = {91, 92, 93})
    void takeoverTerminatesNoHealthyMachine(long seed) {
        Simulation simulation = new Simulation(seed, 5, 20);
        submitWork(simulation, 150);
        List<String> cutOff = new ArrayList<>();
        simulation.after(45 * SECOND, () -> {
            simulation.faults.partitionFromPeersAndStore(
                    simulation.leader(), SimEnvironment.PartitionMode.DROP, 40 * SECOND);
            List<SimWorker> all = simulation.cloud.workers();
            for (int i = 0; i < all.size(); i += 7) {
                cutOff.add(all.get(i).id);
                simulation.faults.partitionMachine(all.get(i), SimEnvironment.PartitionMode.HOLD, 25 * SECOND);
            }
        });
        simulation.run(100 * SECOND);

        List<String> healthy = new ArrayList<>(simulation.cloud.terminatedWhileBusy());
        healthy.removeAll(cutOff);
        assertEquals(List.of(), healthy, "returned with tasks on them");
        simulation.runWithLivenessChecks(100 * SECOND, 500 * SECOND);

        assertRulesAndAllDone(simulation);
    }

    /** Controllers restart within a fraction of a second, at any moment of an election. Machines hang as briefly. */
    @ParameterizedTest
    @ValueSource(longs = {51, 52, 53, 54, 55})
    void workCompletesAfterRestartsWithinAFractionOfASecond(long seed) {
        Simulation simulation = withRandomJobs(seed, 30, 100 * SECOND);
        simulation.environment.duplicateRequestShare = 0.1;
        for (int i = 0; i < 40; i++) {
            boolean leader = i % 3 > 0;
            simulation.after(
                    20 * SECOND + 2L * i * SECOND + simulation.environment.random.nextInt(2_000_000),
                    () -> simulation.faults.crash(
                            leader ? simulation.leader() : simulation.randomNode(),
                            20_000 + simulation.environment.random.nextInt(400_000)));
            simulation.after(21 * SECOND + 2L * i * SECOND, () -> {
                SimWorker worker = simulation.randomWorker();
                if (worker != null) {
                    worker.hangFor(100_000 + simulation.environment.random.nextInt(800_000));
                }
            });
        }
        simulation.runWithLivenessChecks(110 * SECOND, 330 * SECOND);

        assertRulesAndAllDone(simulation);
    }
}
