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

/** Scheduling when there is more work than capacity, and the machines that are launched for it. */
class CapacityTest {
    private static final long SECOND = Simulation.SECOND;

    /**
     * More machines than one transaction could name. A takeover once rewrote every part of the machine inventory, so
     * that beyond some number of machines no controller could take them over. Here leaders crash, also during a
     * takeover, and the store has an outage.
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
     * There is far more work than capacity for minutes. Jobs with many tasks or low priority start nevertheless, and
     * half of the jobs of every kind are served.
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

    /** Services keep arriving, and for most of them capacity is free when they arrive. */
    @Test
    void arrivingServicesFindHeadroom() {
        Simulation simulation = new Simulation(75, 3, 10);
        List<JobSpec> lateServices = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            JobSpec job = simulation.jobs.service(2);
            simulation.after(2 * SECOND + 3L * i * SECOND, () -> simulation.users.submit(job));
            if (i >= 25) {
                lateServices.add(job);
            }
        }
        simulation.run(200 * SECOND);

        assertRules(simulation);
        long startedAtOnce = lateServices.stream()
                .filter(job -> simulation.rules.startDelayMicros(job.id()) < 5 * SECOND)
                .count();
        assertTrue(
                startedAtOnce >= lateServices.size() * 0.9,
                startedAtOnce + " of " + lateServices.size() + " started at once");
    }

    /**
     * Many small tasks run on the same machines and are replaced. The new fencing tokens that allow their exited
     * attempts to be cleared are drawn rarely, one for all of them, and never for running tasks.
     */
    @Test
    void cleanupOfMachinesWithManyTasksDrawsFewFencingTokens() {
        Simulation simulation = new Simulation(85, 3, 3);
        JobSpec template = simulation.jobs.serviceBuilder(31).build();
        for (int i = 0; i < 4; i++) {
            simulation.users.submit(simulation.jobs.withCpu(template, 31, 250));
        }
        JobSpec batch = simulation.jobs.batch(60, 2 * SECOND);
        for (int i = 0; i < 30; i++) {
            simulation.after(
                    (20 + 3 * i) * SECOND, () -> simulation.users.submit(simulation.jobs.withCpu(batch, 60, 250)));
        }
        simulation.run(150 * SECOND);

        assertRulesAndAllDone(simulation);
        int fencingTokensDrawn = simulation.store.writeCount(Keys.FENCING_TOKEN);
        assertTrue(fencingTokensDrawn < 60, fencingTokensDrawn + " fencing tokens drawn");
    }

    /** Each service by itself would need small machines; together they also fill large ones, which boot faster. */
    @Test
    void servicesOfAClassShareLargeMachines() {
        Simulation simulation = new Simulation(76, 3, 20);
        submitServices(simulation, 40, 4);
        simulation.run(30 * SECOND);

        assertRules(simulation);
        long largeMachines = simulation.cloud.workers().stream()
                .filter(worker -> worker.type.name().equals("large"))
                .count();
        assertTrue(largeMachines >= 2, largeMachines + " large machines");
    }

    /** Some machines never boot. A service does not wait until these have been returned to the cloud. */
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
                "started after " + simulation.rules.startDelayMicros(job.id()) / SECOND + " s");
    }

    /**
     * When all machines are in use, as many jobs as can meet their deadlines together do, instead of all missing them.
     */
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
