package org.granitepath.simulation;

import static org.granitepath.simulation.FaultScenarios.SECOND;
import static org.granitepath.simulation.FaultScenarios.configOf;
import static org.granitepath.simulation.FaultScenarios.crashLeaderAfter;
import static org.granitepath.simulation.FaultScenarios.simulation;
import static org.granitepath.simulation.FaultScenarios.submitLongRunningJobs;
import static org.granitepath.simulation.FaultScenarios.withFewMachines;
import static org.granitepath.simulation.FaultScenarios.withRandomJobs;
import static org.granitepath.simulation.SimulationAssertions.assertRules;
import static org.granitepath.simulation.SimulationAssertions.assertRulesAndAllDone;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.Priority;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Two faults at the same time, one test for each combination in docs/failure-modes.md. Each test asserts that its
 * combination occurred, and that the rules held after each step.
 */
class CombinedFaultsTest {
    /** The machines that are up and hold tasks of these jobs. */
    private static List<SimWorker> machinesOf(Simulation simulation, Stream<String> jobs) {
        Set<String> hosts =
                jobs.flatMap(job -> simulation.rules.hostsOf(job).stream()).collect(Collectors.toSet());
        return simulation.cloud.workers().stream()
                .filter(worker -> hosts.contains(worker.id))
                .toList();
    }

    /** More work than capacity, urgent and not urgent, over links that delay some packets. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void noKindOfJobStarvesUnderOverloadOverSlowLinks(long seed) {
        Simulation simulation = withFewMachines(seed);
        withRandomJobs(simulation, 30, 60 * SECOND);
        submitLongRunningJobs(simulation, 4, 6, 20 * SECOND);

        simulation.after(20 * SECOND, () -> simulation.environment.delayedPacketShare = 0.03);
        Observation<Integer> waiting = simulation.observe(
                60 * SECOND, () -> simulation.users.unfinishedBatchJobs().size());
        simulation.after(90 * SECOND, () -> simulation.environment.delayedPacketShare = 0);
        simulation.runWithLivenessChecks(100 * SECOND, 700 * SECOND);

        assertTrue(waiting.get() > 5, "only " + waiting.get() + " jobs wait");
        assertRulesAndAllDone(simulation);
        simulation.rules.checkServed();
        assertRules(simulation);
    }

    /** A leader crashes while machines with long tasks can't be reached or receive no answers of the new leader. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void workCompletesWhenLeaderCrashesWhileMachinesAreCutOff(long seed) {
        Simulation simulation = simulation(seed);
        submitLongRunningJobs(simulation, 5, 8, 60 * SECOND);

        Observation<String> former = new Observation<>();
        simulation.after(50 * SECOND, () -> {
            former.set(simulation.leader());
            List<SimWorker> all = simulation.cloud.workers();
            for (int i = 0; i < all.size(); i++) {
                if (i % 3 == 0) {
                    simulation.faults.partitionMachine(all.get(i), SimEnvironment.PartitionMode.HOLD, 40 * SECOND);
                } else if (i % 3 == 1) {
                    simulation.faults.dropMessagesTo(all.get(i), 25 * SECOND);
                }
            }
            simulation.faults.crash(former.get(), 20 * SECOND);
        });
        simulation.after(60 * SECOND, () -> assertNotEquals(former.get(), simulation.leader()));
        simulation.runWithLivenessChecks(95 * SECOND, 500 * SECOND);

        assertRulesAndAllDone(simulation);
    }

    /** Jobs that have to run in one zone, also those with many tasks, lose machines. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void oneZoneJobsStayInTheirZoneWhenTheyLoseMachines(long seed) {
        Simulation simulation = simulation(seed);
        for (int i = 0; i < 12; i++) {
            simulation.users.submit(simulation.jobs.oneZoneBatch(3 + i % 5, 25 * SECOND));
        }

        AtomicInteger lostBusyMachines = new AtomicInteger();
        for (int i = 0; i < 6; i++) {
            simulation.after((35 + 4 * i) * SECOND, () -> {
                SimWorker worker = simulation.randomWorker();
                if (worker != null) {
                    lostBusyMachines.addAndGet(worker.attempts().hasRunningTask() ? 1 : 0);
                    worker.die();
                }
            });
        }
        crashLeaderAfter(simulation, 45 * SECOND, 300_000);
        simulation.runWithLivenessChecks(60 * SECOND, 400 * SECOND);

        assertTrue(lostBusyMachines.get() > 0, "no lost machine was running tasks");
        assertRulesAndAllDone(simulation);
    }

    /**
     * All machines that hold a one-zone job are cut off while the leader changes, so that the job's zone is unconfirmed
     * for the new leader.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void oneZoneJobsStayInTheirZoneWhileItIsUnconfirmed(long seed) {
        Simulation simulation = simulation(seed);
        for (int i = 0; i < 6; i++) {
            simulation.users.submit(simulation.jobs.oneZoneBatch(21, 40 * SECOND));
        }

        Observation<Integer> cut = new Observation<>();
        simulation.after(40 * SECOND, () -> {
            List<SimWorker> machines = machinesOf(
                    simulation, simulation.rules.runningJobs().stream().limit(3));
            cut.set(machines.size());
            machines.forEach(worker ->
                    simulation.faults.partitionMachine(worker, SimEnvironment.PartitionMode.HOLD, 10 * SECOND));
            simulation.faults.crash(simulation.leader(), 6 * SECOND);
        });
        simulation.runWithLivenessChecks(60 * SECOND, 700 * SECOND);

        assertTrue(cut.get() > 2, cut.get() + " machines were cut off");
        assertRulesAndAllDone(simulation);
    }

    /** All controllers are down for longer than a lease. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void workResumesAfterAllControllersWereDownForLongerThanALease(long seed) {
        Simulation simulation = simulation(seed);
        submitLongRunningJobs(simulation, 5, 6, 70 * SECOND);

        simulation.after(
                50 * SECOND,
                () -> simulation.nodeNames.forEach(
                        node -> simulation.faults.crash(node, simulation.config.leaseMicros() + 5 * SECOND)));
        Observation<Integer> runningJobs = simulation.observe(
                54 * SECOND + simulation.config.leaseMicros(),
                () -> simulation.rules.runningJobs().size());
        simulation.runWithLivenessChecks(57 * SECOND + simulation.config.leaseMicros(), 400 * SECOND);

        assertEquals(0, runningJobs.get(), "tasks left after every lease expired");
        assertRulesAndAllDone(simulation);
        simulation.rules.checkServed();
        assertRules(simulation);
    }

    /**
     * The tasks of jobs with two or three tasks end far apart, with a change of leader in between and progress that the
     * former leader writes late.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void jobsCompleteWhenTheirTasksEndUnderDifferentLeaders(long seed) {
        Simulation simulation = simulation(seed);
        for (int i = 0; i < 15; i++) {
            simulation.users.submit(simulation.jobs.batch(2 + i % 2, (10 + 4 * i) * SECOND));
        }

        Set<String> leaders = new HashSet<>();
        for (int i = 0; i < 4; i++) {
            simulation.after((28 + 9 * i) * SECOND, () -> {
                leaders.add(simulation.leader());
                simulation.store.lateCommitShare = 0.2;
                simulation.faults.crash(simulation.leader(), 5 * SECOND);
            });
        }
        simulation.after(65 * SECOND, () -> simulation.store.lateCommitShare = 0);
        simulation.runWithLivenessChecks(78 * SECOND, 300 * SECOND);

        assertTrue(leaders.size() > 1, "the leader never changed");
        assertRulesAndAllDone(simulation);
    }

    /**
     * A team is at its limit when the leader changes, some of its machines can't be reached, and jobs are cancelled in
     * that time. Cancelled tasks whose end is unconfirmed still count against the limit.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void teamStaysWithinItsLimitWhenTheLeaderChanges(long seed) {
        Simulation simulation = simulation(seed);
        for (int i = 0; i < 8; i++) {
            simulation.users.submit(simulation.jobs.limitedBatch(6, 40 * SECOND));
        }

        Observation<Boolean> atLimit = new Observation<>();
        simulation.after(55 * SECOND, () -> {
            List<SimWorker> machines = machinesOf(simulation, simulation.rules.runningJobs().stream());
            atLimit.set(simulation.rules.usedCpuMillis("tight") == 12_000 && !machines.isEmpty());
            machines.stream()
                    .limit(2)
                    .forEach(worker ->
                            simulation.faults.partitionMachine(worker, SimEnvironment.PartitionMode.HOLD, 20 * SECOND));
            simulation.faults.crash(simulation.leader(), 10 * SECOND);
            simulation.after(2 * SECOND, () -> simulation.users.cancelRunning(2, 0));
            // These jobs are accepted in the new leader's own term, so nothing but the limit holds them back.
            for (int i = 0; i < 8; i++) {
                simulation.after(
                        4 * SECOND + i * SECOND / 2,
                        () -> simulation.users.submit(simulation.jobs.limitedBatch(3, 20 * SECOND)));
            }
        });
        simulation.runWithLivenessChecks(80 * SECOND, 600 * SECOND);

        assertTrue(atLimit.get(), "the team was not at its limit");
        assertRulesAndAllDone(simulation);
    }

    /** Ten leaders in two minutes, with a store outage and cancellations meanwhile. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void workCompletesUnderTenLeadersInTwoMinutes(long seed) {
        Simulation simulation = withRandomJobs(simulation(seed), 30, 120 * SECOND);
        submitLongRunningJobs(simulation, 6, 4, 60 * SECOND);

        AtomicInteger changes = new AtomicInteger();
        for (int i = 0; i < 11; i++) {
            simulation.after((35 + 11 * i) * SECOND, () -> {
                String formerLeader = simulation.leader();
                if (simulation.environment.random.nextBoolean()) {
                    simulation.faults.crash(formerLeader, 300_000 + simulation.environment.random.nextInt(6_000_000));
                } else {
                    simulation.faults.partitionFromPeersAndStore(
                            formerLeader, SimEnvironment.PartitionMode.HOLD, 9 * SECOND);
                }
                simulation.after(
                        10 * SECOND, () -> changes.addAndGet(simulation.leader().equals(formerLeader) ? 0 : 1));
                simulation.users.cancelRunning(1, 0);
            });
        }
        simulation.after(90 * SECOND, () -> simulation.store.startOutage(20 * SECOND));
        simulation.runWithLivenessChecks(160 * SECOND, 600 * SECOND);

        assertTrue(changes.get() >= 5, changes + " changes of leader");
        assertRulesAndAllDone(simulation);
    }

    /** Leadership moves to another controller and back, then all controllers crash and one restarts within a second. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void firstControllerToRestartLeadsAfterAllHaveCrashed(long seed) {
        Simulation simulation = withRandomJobs(simulation(seed), 30, 80 * SECOND);
        simulation.environment.duplicateRequestShare = 0.1;

        simulation.after(40 * SECOND, () -> {
            String first = simulation.leader();
            simulation.faults.crash(first, 400_000);
            crashLeaderAfter(simulation, 6 * SECOND, 200_000);
            simulation.after(
                    12 * SECOND,
                    () -> simulation.nodeNames.forEach(
                            node -> simulation.faults.crash(node, node.equals(first) ? 100_000 : 25 * SECOND)));
            simulation.after(20 * SECOND, () -> assertEquals(first, simulation.leader()));
        });
        simulation.runWithLivenessChecks(80 * SECOND, 500 * SECOND);

        assertRulesAndAllDone(simulation);
    }

    /**
     * Best-effort work without a deadline does not use on-demand machines at first, but does not wait so long that it
     * is starved while these machines have capacity that no other work uses.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void deferrableWorkEventuallyUsesIdleFullPriceCapacity(long seed) {
        Simulation simulation =
                new Simulation(seed, configOf(seed).withControllers(3).withMachinesPerOffer(1));
        JobSpec template = simulation.jobs.batchBuilder(1, 600 * SECOND).build();
        simulation.users.submit(simulation.jobs.withCpu(template, 1, 9_000)); // holds a part of an on-demand machine
        // This job fills the spot machines; no other machines are launched for it.
        simulation.users.submit(simulation.jobs.withoutDeadline(simulation.jobs.batch(30, 300 * SECOND)));
        SimJobs jobs = simulation.jobs;
        JobSpec deferrableJob = jobs.batchBuilder(2, 20 * SECOND)
                .priority(Priority.BEST_EFFORT)
                .onSpot()
                .withoutDeadline()
                .build();

        simulation.after(60 * SECOND, () -> simulation.users.submit(deferrableJob));
        simulation.runWithLivenessChecks(20 * SECOND, 400 * SECOND);

        assertTrue(
                simulation.rules.startDelayMicros(deferrableJob.id()) > 30 * SECOND, "the job found capacity at once");
        assertRules(simulation);
    }
}
