package org.granitepath.simulation;

import static org.granitepath.simulation.FaultScenarios.SECOND;
import static org.granitepath.simulation.FaultScenarios.crashLeaderAfter;
import static org.granitepath.simulation.FaultScenarios.otherNodes;
import static org.granitepath.simulation.FaultScenarios.partitionModeOf;
import static org.granitepath.simulation.FaultScenarios.simulation;
import static org.granitepath.simulation.FaultScenarios.submitLongRunningJobs;
import static org.granitepath.simulation.FaultScenarios.withFewMachines;
import static org.granitepath.simulation.FaultScenarios.withRandomJobs;
import static org.granitepath.simulation.SimulationAssertions.assertRules;
import static org.granitepath.simulation.SimulationAssertions.assertRulesAndAllDone;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.granitepath.storage.JobSpec;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Cancellations during other faults: no task starts, or runs on for too long, after its cancellation is confirmed. */
class CancellationFaultsTest {
    /** Cancellations, status requests and repeated submissions arrive just as the last task of a job completes. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void jobsCancelledAsTheyCompleteHaveOneOutcome(long seed) {
        Simulation simulation = withRandomJobs(simulation(seed), 40, 60 * SECOND);
        simulation.cancelAtCompletionShare = 0.6;
        simulation.users.sendUnusualRequests(100 * SECOND);

        simulation.runWithLivenessChecks(100 * SECOND, 400 * SECOND);

        assertTrue(simulation.users.doneResponseCount() > 2 && simulation.rules.cancelledJobCount() > 2);
        assertTrue(
                simulation.users.unschedulableRejectionCount() > 20,
                simulation.users.unschedulableRejectionCount() + " jobs that can't run were refused");
        assertRulesAndAllDone(simulation);
    }

    /**
     * The store refuses only the leader, another controller confirms cancellations, and one or two seconds later the
     * store is down for all controllers for longer than cancel_s, while workers go on sending heartbeats to the leader.
     * With seeds above 2 no controller tells the leader of the cancellations. Then the tasks end only because the time
     * for which a controller may extend leases without contact to the store is bounded.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void cancelledTasksEndWhenStoreRefusesLeaderBeforeOutage(long seed) {
        Simulation simulation = simulation(seed);
        simulation.dropPeerCancellations = seed > 2;
        List<JobSpec> jobs = submitLongRunningJobs(simulation, 6, 8, 300 * SECOND);

        Observation<Integer> running = new Observation<>();
        Observation<Integer> confirmed = new Observation<>();
        Observation<Integer> heartbeatsBefore = new Observation<>();
        Observation<Integer> heartbeatsAfter = new Observation<>();
        simulation.after(70 * SECOND, () -> {
            String leader = simulation.leader();
            running.set(simulation.rules.runningJobs().size());
            simulation.store.refuseRequestsOf(leader, 14 * SECOND);
            jobs.forEach(job -> simulation.users.cancelAt(
                    otherNodes(simulation, leader).get(simulation.environment.random.nextInt(4)), job.id()));
            simulation.after((1 + seed % 2) * SECOND, () -> {
                simulation.store.startOutage(simulation.config.cancellationTimeoutMicros() + 15 * SECOND);
                heartbeatsBefore.set(simulation.acceptedHeartbeatCount(leader));
            });
            simulation.after(9 * SECOND, () -> {
                confirmed.set(simulation.rules.cancelledJobCount());
                heartbeatsAfter.set(simulation.acceptedHeartbeatCount(leader));
            });
        });
        simulation.runWithLivenessChecks(
                70 * SECOND + simulation.config.cancellationTimeoutMicros() + 20 * SECOND, 400 * SECOND);

        assertTrue(
                running.get() >= 10 && confirmed.get() >= 10,
                running.get() + " jobs ran, " + confirmed.get() + " cancellations confirmed");
        int answered = heartbeatsAfter.get() - heartbeatsBefore.get();
        assertTrue(answered > 5, "the leader answered " + answered + " heartbeats in the outage");
        assertRules(simulation);
    }

    /**
     * The store answers slowly, then refuses only the leader, then all controllers, while users cancel jobs and poll.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void cancellationsHoldWhileStoreIsSlowThenRefusesLeaderThenIsDown(long seed) {
        Simulation simulation = withRandomJobs(simulation(seed), 30, 100 * SECOND);
        submitLongRunningJobs(simulation, 6, 6, 100 * SECOND);

        simulation.after(45 * SECOND, () -> simulation.environment.delayedPacketShare = 0.05);
        simulation.after(60 * SECOND, () -> simulation.environment.delayedPacketShare = 0);
        Observation<Integer> confirmedBefore = new Observation<>();
        Observation<Integer> confirmedAfter = new Observation<>();
        simulation.after(60 * SECOND, () -> {
            simulation.store.refuseRequestsOf(simulation.leader(), 12 * SECOND);
            confirmedBefore.set(simulation.rules.cancelledJobCount());
            simulation.users.cancelRunning(4, 0);
        });
        simulation.after(66 * SECOND, () -> {
            simulation.store.startOutage(simulation.config.cancellationTimeoutMicros() + 6 * SECOND);
            simulation.users.cancelRunning(3, 0);
            confirmedAfter.set(simulation.rules.cancelledJobCount());
        });
        simulation.runWithLivenessChecks(
                70 * SECOND + simulation.config.cancellationTimeoutMicros() + 6 * SECOND, 600 * SECOND);

        assertTrue(
                confirmedAfter.get() > confirmedBefore.get(),
                "no cancellation was confirmed while the store refused the leader");
        assertRulesAndAllDone(simulation);
    }

    /** A zone with workers and a controller is cut off for longer than a lease, and jobs are cancelled meanwhile. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void cancelledTasksEndInZoneCutOffForLongerThanALease(long seed) {
        Simulation simulation = simulation(seed);
        submitLongRunningJobs(simulation, 6, 8, 70 * SECOND);

        simulation.after(
                50 * SECOND,
                () -> simulation.faults.partitionZone(
                        seed % 3 == 0 ? simulation.zoneOf(simulation.leader()) : "south",
                        partitionModeOf(seed),
                        simulation.config.leaseMicros() + 12 * SECOND));
        simulation.after(53 * SECOND, () -> simulation.users.cancelRunning(5, 0));
        Observation<Integer> confirmed =
                simulation.observe(50 * SECOND + simulation.config.leaseMicros(), simulation.rules::cancelledJobCount);
        simulation.runWithLivenessChecks(65 * SECOND + simulation.config.leaseMicros(), 500 * SECOND);

        assertTrue(confirmed.get() > 0, "no cancellation was confirmed while the zone was cut off");
        assertRulesAndAllDone(simulation);
    }

    /**
     * The leader's stop commands have not reached the machines of a zone before the zone is cut off. The zone lease
     * keeper knows of the cancellations from its last read. The bound on renewing leases without contact counts from
     * that read, so it would end the tasks too late: the keeper has to stop them itself.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void tasksCancelledBeforeTheirZoneIsCutOffAreStopped(long seed) {
        Simulation simulation = simulation(seed);
        submitLongRunningJobs(simulation, 6, 8, 200 * SECOND);

        Observation<Integer> confirmed = new Observation<>();
        simulation.after(60 * SECOND, () -> {
            String zone = simulation.zoneOf(simulation.leader()).equals("south") ? "north" : "south";
            simulation.cloud.workers().stream()
                    .filter(worker -> worker.zone.equals(zone))
                    .forEach(worker -> simulation.faults.partition(
                            simulation.leader(), worker.id, SimEnvironment.PartitionMode.DROP, 60 * SECOND));
            simulation.users.cancelRunning(10, 0);
            simulation.after(6 * SECOND, () -> {
                confirmed.set(simulation.rules.cancelledJobCount());
                simulation.faults.partitionZone(zone, SimEnvironment.PartitionMode.DROP, 50 * SECOND);
            });
        });
        simulation.runWithLivenessChecks(125 * SECOND, 900 * SECOND);

        assertEquals(10, confirmed.get(), "cancellations confirmed before the cut");
        assertRulesAndAllDone(simulation);
    }

    /** A leader loses the store and its peers, but not its workers and users. Jobs are cancelled at the new leader. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void tasksOfReplacedLeaderEndWhenNewLeaderCancelsThem(long seed) {
        Simulation simulation = simulation(seed);
        List<JobSpec> jobs = submitLongRunningJobs(simulation, 6, 8, 200 * SECOND);

        Observation<Integer> confirmed = new Observation<>();
        simulation.after(60 * SECOND, () -> {
            String former = simulation.leader();
            simulation.faults.partitionFromPeersAndStore(former, partitionModeOf(seed), 70 * SECOND);
            simulation.after(6 * SECOND, () -> {
                String leader = simulation.leaderOtherThan(former);
                assertNotEquals(former, leader);
                // The new leader can't reach any machine: only lease expiry can end tasks that the former one keeps
                // alive.
                otherNodes(simulation, former)
                        .forEach(node -> simulation.faults.partitionFromWorkers(
                                node, SimEnvironment.PartitionMode.DROP, 64 * SECOND));
                jobs.stream().limit(9).forEach(job -> simulation.users.cancelAt(leader, job.id()));
            });
            simulation.after(12 * SECOND, () -> confirmed.set(simulation.rules.cancelledJobCount()));
        });
        simulation.runWithLivenessChecks(135 * SECOND, 900 * SECOND);

        assertEquals(9, confirmed.get(), "cancellations confirmed by the new leader");
        assertRulesAndAllDone(simulation);
    }

    /**
     * A leader can renew its own lease, but not read from the store, so it sees no cancellations. It must nevertheless
     * stop extending the leases of its workers.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void cancelledTasksEndWhenLeaderRenewsItsLeaseButCannotRead(long seed) {
        Simulation simulation = simulation(seed);
        simulation.dropPeerCancellations = true;
        List<JobSpec> jobs = submitLongRunningJobs(simulation, 6, 6, 300 * SECOND);

        simulation.after(60 * SECOND, () -> {
            String leader = simulation.leader();
            simulation.store.dropReadsOf(leader, 2 * simulation.config.cancellationTimeoutMicros());
            simulation.after(
                    2 * SECOND,
                    () -> jobs.forEach(job -> simulation.users.cancelAt(
                            otherNodes(simulation, leader).get(0), job.id())));
        });
        simulation.runWithLivenessChecks(60 * SECOND + 2 * simulation.config.cancellationTimeoutMicros(), 300 * SECOND);

        assertTrue(simulation.rules.cancelledJobCount() >= 10);
        assertRules(simulation);
    }

    /** Machines with tasks of cancelled jobs hang, for less or for more than a lease, and the leader crashes. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void cancelledTasksEndOnHangingMachines(long seed) {
        Simulation simulation = simulation(seed);
        submitLongRunningJobs(simulation, 6, 8, 200 * SECOND);

        Observation<Integer> cancelledCount = new Observation<>();
        simulation.after(60 * SECOND, () -> {
            long hangMicros = seed < 3 ? 8 * SECOND : simulation.config.leaseMicros() + 6 * SECOND;
            cancelledCount.set(simulation.users.cancelRunning(8, hangMicros).size());
            crashLeaderAfter(simulation, SECOND, 300_000);
        });
        simulation.runWithLivenessChecks(75 * SECOND + simulation.config.leaseMicros(), 800 * SECOND);

        assertTrue(cancelledCount.get() > 4);
        assertRulesAndAllDone(simulation);
    }

    /**
     * The leader's reads lag, for less time than it takes to count as out of contact, while other controllers confirm
     * cancellations of jobs whose tasks it still starts. Its peers tell it of the cancellations; with odd seeds they do
     * not, and the confirmation waits until the leader has to stop.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void cancelledJobsStartNoTaskWhileLeaderReadsLag(long seed) {
        Simulation simulation = withFewMachines(seed);
        simulation.dropPeerCancellations = seed % 2 == 1;
        submitLongRunningJobs(simulation, 1, 40, 3 * SECOND);

        for (int i = 0; i < 8; i++) {
            simulation.after((30 + 6 * i) * SECOND, () -> {
                String leader = simulation.leader();
                simulation.store.dropReadsOf(leader, 2_500_000);
                simulation.rules.runningJobs().stream()
                        .limit(6)
                        .forEach(job -> simulation.users.cancelAt(
                                otherNodes(simulation, leader).get(0), job));
            });
        }
        simulation.runWithLivenessChecks(85 * SECOND, 500 * SECOND);

        assertTrue(simulation.rules.cancelledJobCount() > 10, simulation.rules.cancelledJobCount() + " cancellations");
        assertRulesAndAllDone(simulation);
    }
}
