package org.granitepath.simulation;

import static org.granitepath.simulation.FaultScenarios.crashLeaderAfter;
import static org.granitepath.simulation.FaultScenarios.submitServices;
import static org.granitepath.simulation.SimulationAssertions.assertRules;
import static org.granitepath.simulation.SimulationAssertions.assertRulesAndAllDone;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.Keys;
import org.granitepath.storage.Priority;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** More work than capacity, and the machines that are launched for it. */
class CapacityTest {
    private static final long SECOND = Simulation.SECOND;

    /**
     * More machines than one transaction could name: the takeover once rewrote every machine inventory, and beyond
     * some machines nobody could take them over any more. Leaders crash, also in the middle of a takeover, and the
     * store goes away.
     */
    @ParameterizedTest
    @ValueSource(longs = {61, 62})
    void workCompletesWhenLeadersOfHundredsOfMachinesCrash(long seed) {
        Simulation simulation = new Simulation(seed, 5, 30);
        for (int i = 0; i < 12; i++) {
            long at = 2 * SECOND + 5L * i * SECOND;
            simulation.after(at, () -> {
                boolean spot = simulation.environment.random.nextBoolean();
                simulation.users.submit(simulation
                        .jobs
                        .batchBuilder(120, 25 * SECOND)
                        .onSpot(spot)
                        .build());
            });
            simulation.after(at, () -> simulation.users.submit(simulation.jobs.service(6), 120 * SECOND));
        }
        Observation<Integer> machines =
                simulation.observe(45 * SECOND, () -> simulation.cloud.workers().size());
        crashLeaderAfter(simulation, 45 * SECOND, 4 * SECOND);
        crashLeaderAfter(simulation, 49 * SECOND, 300_000);
        simulation.after(
                70 * SECOND, () -> simulation.nodeNames.forEach(node -> simulation.faults.crash(node, SECOND)));
        simulation.after(75 * SECOND, () -> simulation.store.startOutage(10 * SECOND));
        simulation.runWithLivenessChecks(100 * SECOND, 300 * SECOND);

        assertTrue(machines.get() > 150, "only " + machines.get() + " machines");
        assertRulesAndAllDone(simulation);
        simulation.rules.checkServed();
        assertRules(simulation);
    }

    /**
     * Far more work than capacity, for minutes: wide and low jobs begin all the same, and half of every kind is served.
     */
    @ParameterizedTest
    @ValueSource(longs = {71, 72, 73})
    void noKindOfJobStarvesUnderOverload(long seed) {
        Simulation simulation = new Simulation(seed, 3, 1);
        for (int i = 0; i < 60; i++) {
            int number = i;
            long at = 2 * SECOND + 5L * i * SECOND;
            simulation.after(at, () -> simulation.users.submit(standardJob(simulation, number)));
            simulation.after(at, () -> {
                if (number % 4 == 0) {
                    simulation.users.submit(bestEffortJob(simulation, number));
                }
            });
        }
        simulation.runWithLivenessChecks(310 * SECOND, 900 * SECOND);

        simulation.rules.checkServed();
        assertRules(simulation);
    }

    private static JobSpec standardJob(Simulation simulation, int number) {
        SimJobs jobs = simulation.jobs;
        return jobs.batchBuilder(number % 10 == 3 ? 60 : 16, 15 * SECOND)
                .team(number % 7 == 0 ? "tight" : "free")
                .onSpot()
                .build();
    }

    private static JobSpec bestEffortJob(Simulation simulation, int number) {
        SimJobs jobs = simulation.jobs;
        return jobs.batchBuilder(number % 8 == 0 ? 40 : 6, 12 * SECOND)
                .priority(Priority.BEST_EFFORT)
                .onSpot()
                .checkpointEvery(3 * SECOND)
                .build();
    }

    /** Services keep arriving: for most of them there is capacity already when they come. */
    @Test
    void arrivingServicesFindHeadroom() {
        Simulation simulation = new Simulation(75, 3, 10);
        List<JobSpec> late = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            JobSpec job = simulation.jobs.service(2);
            simulation.after(2 * SECOND + 3L * i * SECOND, () -> simulation.users.submit(job));
            if (i >= 25) {
                late.add(job);
            }
        }
        simulation.run(200 * SECOND);

        assertRules(simulation);
        long prompt = late.stream()
                .filter(job -> simulation.rules.startDelayMicros(job.id()) < 5 * SECOND)
                .count();
        assertTrue(prompt >= late.size() * 0.9, prompt + " of " + late.size() + " began at once");
    }

    /**
     * Machines on which many small tasks run and are replaced: new fencing tokens, which let their exited attempts be
     * cleared, are drawn now and then for all together, and never for what runs.
     */
    @Test
    void cleanupOfMachinesWithManyTasksDrawsFewFencingTokens() {
        Simulation simulation = new Simulation(85, 3, 3);
        JobSpec like = simulation.jobs.serviceBuilder(31).build();
        for (int i = 0; i < 4; i++) {
            simulation.users.submit(simulation.jobs.withCpu(like, 31, 250));
        }
        JobSpec batch = simulation.jobs.batch(60, 2 * SECOND);
        for (int i = 0; i < 30; i++) {
            simulation.after(
                    (20 + 3 * i) * SECOND, () -> simulation.users.submit(simulation.jobs.withCpu(batch, 60, 250)));
        }
        simulation.run(150 * SECOND);

        assertRulesAndAllDone(simulation);
        int drawn = simulation.store.writeCount(Keys.FENCING_TOKEN);
        assertTrue(drawn < 60, drawn + " fencing tokens drawn");
    }

    /** Each service alone would take small machines; together they also fill large ones, which are up sooner. */
    @Test
    void servicesOfAClassShareLargeMachines() {
        Simulation simulation = new Simulation(76, 3, 20);
        submitServices(simulation, 40, 4);
        simulation.run(30 * SECOND);

        assertRules(simulation);
        long large = simulation.cloud.workers().stream()
                .filter(worker -> worker.type.name().equals("large"))
                .count();
        assertTrue(large >= 2, large + " large machines");
    }

    /** Machines that never come up are not waited for until they are given back. */
    @ParameterizedTest
    @ValueSource(longs = {77, 78, 79})
    void machinesThatNeverBootAreReplacedEarly(long seed) {
        Simulation simulation = new Simulation(seed, 3, 5);
        simulation.cloud.remainingBootFailures = 2;
        JobSpec job = simulation.jobs.service(4);
        simulation.users.submit(job);
        simulation.run(90 * SECOND);

        assertRules(simulation);
        assertTrue(
                simulation.rules.startDelayMicros(job.id()) < 45 * SECOND,
                "begun after " + simulation.rules.startDelayMicros(job.id()) / SECOND + " s");
    }

    /** On a full site the jobs that can be in time together are, instead of all being late together. */
    @ParameterizedTest
    @ValueSource(longs = {81, 82, 83})
    void someJobsMeetTheirDeadlinesWhenNotAllCan(long seed) {
        Simulation simulation = new Simulation(seed, 3, 1);
        simulation.users.submit(simulation.jobs.batch(120, 8 * SECOND));
        List<JobSpec> jobs = new ArrayList<>();
        for (int i = 0; i < 16; i++) {
            jobs.add(simulation.jobs.batch(i % 4 == 0 ? 240 : 50, 8 * SECOND));
            JobSpec job = jobs.get(i);
            simulation.after(30 * SECOND + 6L * i * SECOND, () -> simulation.users.submit(job));
        }
        simulation.run(700 * SECOND);

        assertRulesAndAllDone(simulation);
        long inTime = jobs.stream()
                .filter(job -> simulation.rules.finishDelayMicros(job.id()) <= job.deadlineMicros())
                .count();
        assertTrue(inTime >= 4, inTime + " of " + jobs.size() + " in time");
    }
}
