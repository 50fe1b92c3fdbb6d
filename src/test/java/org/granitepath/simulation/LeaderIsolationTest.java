package org.granitepath.simulation;

import static org.granitepath.simulation.FaultScenarios.crashLeaderAfter;
import static org.granitepath.simulation.FaultScenarios.partitionModeOf;
import static org.granitepath.simulation.FaultScenarios.withRandomJobs;
import static org.granitepath.simulation.SimulationAssertions.assertRules;
import static org.granitepath.simulation.SimulationAssertions.assertRulesAndAllDone;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.granitepath.storage.JobSpec;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Leaders that lose the store, their peers or their workers, pause, or are replaced without noticing. */
class LeaderIsolationTest {
    private static final long SECOND = Simulation.SECOND;

    /**
     * A leader that is cut off only from the store must be fenced before tasks whose cancellation it can't see run for
     * too long.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void cancelledTasksEndWhenTheLeaderIsCutOffFromTheStore(long seed) {
        Simulation simulation = new Simulation(seed);
        JobSpec service = simulation.jobs.service(4);
        simulation.users.submit(service, 40 * SECOND);

        simulation.after(35 * SECOND, () -> {
            String leader = simulation.leader();
            simulation.faults.partition(leader, SimStore.NAME, SimEnvironment.PartitionMode.HOLD, 120 * SECOND);
            // The successors can't reach the workers, so only lease expiry can end the tasks.
            for (String node : simulation.nodeNames) {
                if (!node.equals(leader)) {
                    simulation.faults.partitionFromWorkers(node, SimEnvironment.PartitionMode.DROP, 120 * SECOND);
                }
            }
        });
        simulation.run(200 * SECOND);

        assertRules(simulation);
    }

    /** Another controller confirms a cancellation while the leader reaches only its workers, not the store or peers. */
    @ParameterizedTest
    @ValueSource(longs = {31, 32, 33, 34})
    void cancelledTasksEndWhenTheLeaderReachesOnlyItsWorkers(long seed) {
        Simulation simulation = withRandomJobs(seed, 25, 80 * SECOND);
        for (int i = 0; i < 3; i++) {
            simulation.users.submit(simulation.jobs.service(4), (30 + 6 * i) * SECOND);
        }

        simulation.after(
                32 * SECOND,
                () -> simulation.faults.partitionFromPeersAndStore(
                        simulation.leader(), partitionModeOf(seed), 70 * SECOND));
        simulation.runWithLivenessChecks(110 * SECOND, 300 * SECOND);

        assertRulesAndAllDone(simulation);
    }

    /**
     * A leader that was replaced without noticing records a submission before it learns of its successor, which so far
     * reaches only half of the machines. The tasks that are claimed when the job is accepted belong to the successor
     * alone.
     */
    @ParameterizedTest
    @ValueSource(longs = {35, 36, 37, 38})
    void jobAcceptedByReplacedLeaderBelongsToItsSuccessor(long seed) {
        Simulation simulation = withRandomJobs(seed, 10, 30 * SECOND);

        simulation.after(40 * SECOND, () -> {
            String former = simulation.leader();
            simulation.faults.partition(former, SimStore.NAME, SimEnvironment.PartitionMode.HOLD, 4 * SECOND);
            List<SimWorker> all = simulation.cloud.workers();
            for (int i = 0; i < all.size(); i += 2) {
                String host = all.get(i).id;
                simulation.nodeNames.stream()
                        .filter(node -> !node.equals(former))
                        .forEach(node ->
                                simulation.faults.partition(node, host, SimEnvironment.PartitionMode.DROP, 8 * SECOND));
            }
            for (int i = 0; i < 12; i++) {
                simulation.after(
                        3_800_000 + i * 30_000L,
                        () -> simulation.users.submitAt(
                                former,
                                simulation.jobs.batchBuilder(5, 20 * SECOND).build()));
            }
        });
        simulation.runWithLivenessChecks(60 * SECOND, 300 * SECOND);

        assertRulesAndAllDone(simulation);
    }

    /**
     * A leader is cut off, and its process pauses while its clocks run on. The pause is longer than the time for which
     * a leader may extend leases without contact to the store, but shorter than a lease. When the leader resumes, it
     * finds queued heartbeats of machines that reach no other controller. If it accepted them, it would keep tasks
     * alive whose jobs another controller has confirmed as cancelled.
     */
    @ParameterizedTest
    @ValueSource(longs = {101, 102, 103})
    void pausedLeaderKeepsNoCancelledTaskAlive(long seed) {
        Simulation simulation = new Simulation(
                seed,
                SimulationConfig.small()
                        .withControllers(2)
                        .withHeartbeatInterval(2 * SECOND)
                        .withLease(27 * SECOND)
                        .withCancellationTimeout(46 * SECOND));
        List<JobSpec> services = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            JobSpec service = simulation.jobs.service(4);
            services.add(service);
            simulation.users.submit(service);
            simulation.users.submit(simulation.jobs.batch(30, 8 * SECOND));
        }

        simulation.after(45 * SECOND, () -> {
            String leader = simulation.leader();
            String other = simulation.nodeNames.get(1 - simulation.nodeNames.indexOf(leader));
            simulation.faults.pause(leader, 24 * SECOND);
            simulation.faults.partitionFromPeersAndStore(leader, SimEnvironment.PartitionMode.DROP, 70 * SECOND);
            simulation.faults.partitionFromWorkers(other, SimEnvironment.PartitionMode.DROP, 70 * SECOND);
            services.forEach(job -> simulation.users.cancelAt(other, job.id()));
        });
        simulation.runWithLivenessChecks(120 * SECOND, 400 * SECOND);

        assertRulesAndAllDone(simulation);
    }

    /** The leader must not take its own pause for unresponsive machines and return its few machines to the cloud. */
    @ParameterizedTest
    @ValueSource(longs = {105, 106})
    void leaderPauseReturnsNoMachines(long seed) {
        Simulation simulation = new Simulation(
                seed, SimulationConfig.small().withMachinesPerOffer(1).withHeartbeatInterval(5 * SECOND));
        simulation.users.submit(simulation.jobs.service(2));

        // During the store outage no successor can be elected, so the leader still leads when it resumes.
        simulation.after(60 * SECOND, () -> simulation.store.startOutage(12_900_000));
        simulation.after(61 * SECOND, () -> simulation.faults.pause(simulation.leader(), 12 * SECOND));
        simulation.runWithLivenessChecks(85 * SECOND, 200 * SECOND);

        assertRules(simulation);
        assertEquals(List.of(), simulation.cloud.terminatedWhileBusy(), "returned with tasks on them");
    }

    /**
     * A zone is cut off from everything for longer than a lease, with the leader inside or outside of it. Its machines
     * are not returned to the cloud, and the controllers inside keep the tasks there alive.
     */
    @ParameterizedTest
    @ValueSource(longs = {111, 112, 113, 114})
    void workContinuesInZoneThatIsCutOff(long seed) {
        Simulation simulation = new Simulation(seed, 5, 5);
        for (int i = 0; i < 10; i++) {
            simulation.users.submit(simulation.jobs.service(6));
            simulation.users.submit(simulation.jobs.batch(20, 25 * SECOND));
        }

        Observation<Long> replicasBefore = new Observation<>();
        AtomicLong minReplicas = new AtomicLong(Long.MAX_VALUE);
        simulation.after(50 * SECOND, () -> {
            replicasBefore.set(simulation.rules.runningReplicaCount());
            simulation.faults.partitionZone(
                    seed % 2 == 0 ? "north" : "south", SimEnvironment.PartitionMode.HOLD, 22 * SECOND);
            if (seed > 112) {
                crashLeaderAfter(simulation, 6 * SECOND, 300_000);
            }
        });
        for (int i = 0; i < 30; i++) {
            simulation.after(
                    (50 + i) * SECOND,
                    () -> minReplicas.accumulateAndGet(simulation.rules.runningReplicaCount(), Math::min));
        }
        simulation.runWithLivenessChecks(82 * SECOND, 400 * SECOND);

        assertRulesAndAllDone(simulation);
        assertEquals(60, replicasBefore.get());
        assertTrue(minReplicas.get() >= 57, "only " + minReplicas + " of " + replicasBefore.get() + " replicas up");
        assertEquals(List.of(), simulation.cloud.terminatedWhileBusy(), "returned with tasks on them");
    }
}
