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

/** Leaders that lose the store, their peers or their machines, stand still, or are replaced without knowing. */
class LeaderIsolationTest {
    private static final long SECOND = Simulation.SECOND;

    /** Leader cut from the store alone: it must be fenced off before tasks overstay whose cancellation it can't see. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void cancelledTasksEndWhenTheLeaderIsCutOffFromTheStore(long seed) {
        Simulation simulation = new Simulation(seed);
        JobSpec service = simulation.jobs.service(4);
        simulation.users.submit(service, 40 * SECOND);

        simulation.after(35 * SECOND, () -> {
            String leader = simulation.leader();
            simulation.faults.partition(leader, SimStore.NAME, SimEnvironment.PartitionMode.HOLD, 120 * SECOND);
            // The successors can't reach the workers: only the lease can end the tasks.
            for (String node : simulation.nodeNames) {
                if (!node.equals(leader)) {
                    simulation.faults.partitionFromWorkers(node, SimEnvironment.PartitionMode.DROP, 120 * SECOND);
                }
            }
        });
        simulation.run(200 * SECOND);

        assertRules(simulation);
    }

    /**
     * A cancellation told elsewhere while the leader sees neither the store nor its peers, only its workers.
     */
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
     * A leader that was replaced without knowing gets a submission on record before it learns of its successor, which
     * reaches only half of the machines yet: what the acceptance claims is the successor's alone.
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
     * A leader stands still while its clocks run on, longer than it may hold its machines without word from the store,
     * but not as long as a lease, and is cut off as well. On waking it finds heartbeats that have waited, of
     * machines that reach nobody else: to answer them would keep tasks of a job alive that another controller has
     * called cancelled.
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

    /** A pause of the leader's own does not make its few machines unresponsive: none is given back for it. */
    @ParameterizedTest
    @ValueSource(longs = {105, 106})
    void leaderPauseReturnsNoMachines(long seed) {
        Simulation simulation = new Simulation(
                seed, SimulationConfig.small().withMachinesPerOffer(1).withHeartbeatInterval(5 * SECOND));
        simulation.users.submit(simulation.jobs.service(2));

        // In an outage no successor is found, and the leader is the leader still when all goes on.
        simulation.after(60 * SECOND, () -> simulation.store.startOutage(12_900_000));
        simulation.after(61 * SECOND, () -> simulation.faults.pause(simulation.leader(), 12 * SECOND));
        simulation.runWithLivenessChecks(85 * SECOND, 200 * SECOND);

        assertRules(simulation);
        assertEquals(List.of(), simulation.cloud.terminatedWhileBusy(), "returned with tasks on them");
    }

    /**
     * A zone is cut off from everything for longer than a lease, and its leader's place may be on either side: its
     * machines are not given back, and the controllers inside keep what runs there alive.
     */
    @ParameterizedTest
    @ValueSource(longs = {111, 112, 113, 114})
    void workContinuesInZoneThatIsCutOff(long seed) {
        Simulation simulation = new Simulation(seed, 5, 5);
        for (int i = 0; i < 10; i++) {
            simulation.users.submit(simulation.jobs.service(6));
            simulation.users.submit(simulation.jobs.batch(20, 25 * SECOND));
        }

        Observation<Long> before = new Observation<>();
        AtomicLong least = new AtomicLong(Long.MAX_VALUE);
        simulation.after(50 * SECOND, () -> {
            before.set(simulation.rules.runningReplicaCount());
            simulation.faults.partitionZone(
                    seed % 2 == 0 ? "north" : "south", SimEnvironment.PartitionMode.HOLD, 22 * SECOND);
            if (seed > 112) {
                crashLeaderAfter(simulation, 6 * SECOND, 300_000);
            }
        });
        for (int i = 0; i < 30; i++) {
            simulation.after(
                    (50 + i) * SECOND, () -> least.accumulateAndGet(simulation.rules.runningReplicaCount(), Math::min));
        }
        simulation.runWithLivenessChecks(82 * SECOND, 400 * SECOND);

        assertRulesAndAllDone(simulation);
        assertEquals(60, before.get());
        assertTrue(least.get() >= 57, "only " + least + " of " + before.get() + " replicas up");
        assertEquals(List.of(), simulation.cloud.terminatedWhileBusy(), "returned with tasks on them");
    }
}
