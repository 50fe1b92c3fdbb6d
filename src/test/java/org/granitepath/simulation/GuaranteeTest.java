package org.granitepath.simulation;

import static org.granitepath.simulation.SimulationAssertions.assertRules;
import static org.granitepath.simulation.SimulationAssertions.assertRulesAndAllDone;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.Priority;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A team gets its guaranteed capacity although other teams borrow all capacity that there is. */
class GuaranteeTest {
    private static final long SECOND = Simulation.SECOND;
    /** A task may be stopped and restarted for guaranteed work a few times. */
    private static final int MAX_STARTS_PER_TASK = 8;

    private static JobSpec spotJob(Simulation simulation, String team, int tasks, long runMicros) {
        SimJobs jobs = simulation.jobs;
        return jobs.batchBuilder(tasks, runMicros)
                .team(team)
                .onSpot()
                .withoutDeadline()
                .build();
    }

    /**
     * Borrowed work fills all machines. All tasks of the guaranteed job run within seconds, with odd seeds across a
     * change of leader.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void borrowedCapacityIsReclaimed(long seed) {
        Simulation simulation = new Simulation(seed, 3, 1);
        for (int i = 0; i < 2; i++) {
            simulation.users.submit(spotJob(simulation, "free", 35, 150 * SECOND));
        }
        Observation<Long> usedBefore = new Observation<>();
        simulation.after(60 * SECOND, () -> {
            usedBefore.set(simulation.rules.usedCpuMillis("free"));
            if (seed % 2 == 1) {
                simulation.faults.crash(simulation.leader(), 300_000);
            }
            simulation.users.submit(spotJob(simulation, "granted", 8, 30 * SECOND));
            // Beyond its guarantee the team borrows like the others: no task is stopped for this job.
            simulation.after(SECOND, () -> simulation.users.submit(spotJob(simulation, "granted", 5, 30 * SECOND)));
        });
        long reclaimSeconds = seed % 2 == 1 ? 16 : 10;
        AtomicLong maxUsedByGranted = new AtomicLong();
        Observation<Long> usedAfter = new Observation<>();
        for (long i = 1; i <= reclaimSeconds; i++) {
            simulation.after((60 + i) * SECOND, () -> {
                maxUsedByGranted.accumulateAndGet(simulation.rules.usedCpuMillis("granted"), Math::max);
                usedAfter.set(simulation.rules.usedCpuMillis("free"));
            });
        }
        simulation.runWithLivenessChecks(80 * SECOND, 900 * SECOND);

        assertTrue(usedBefore.get() > 20_000, "the others use only " + usedBefore.get());
        assertTrue(maxUsedByGranted.get() >= 16_000, "the guaranteed team uses " + maxUsedByGranted);
        assertTrue(
                usedAfter.get() >= usedBefore.get() - 20_000,
                "the others were left " + usedAfter.get() + " of " + usedBefore.get());
        assertRulesAndAllDone(simulation);
    }

    /** A job exceeds its team's guarantee, so that a part of it is borrowed. Only that part is reclaimed. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void teamsGiveBackNoMoreThanTheyBorrowed(long seed) {
        Simulation simulation = new Simulation(seed, 3, 1);
        simulation.users.submit(spotJob(simulation, "free", 10, 300 * SECOND));
        // The low priority makes this job the cheapest one to stop, and with tasks on all machines many of them could
        // be stopped at once.
        SimJobs jobs = simulation.jobs;
        simulation.users.submit(jobs.batchBuilder(10, 300 * SECOND)
                .priority(Priority.BEST_EFFORT)
                .team("lender")
                .onSpot()
                .withoutDeadline()
                .build());
        Observation<Long> usedByLender = new Observation<>();
        simulation.after(60 * SECOND, () -> {
            usedByLender.set(simulation.rules.usedCpuMillis("lender"));
            simulation.users.submit(spotJob(simulation, "free", 40, 300 * SECOND));
        });
        simulation.after(75 * SECOND, () -> simulation.users.submit(spotJob(simulation, "granted", 8, 60 * SECOND)));
        AtomicLong minUsedByLender = new AtomicLong(Long.MAX_VALUE);
        AtomicLong maxUsedByGranted = new AtomicLong();
        for (long i = 1; i <= 12; i++) {
            simulation.after((75 + i) * SECOND, () -> {
                minUsedByLender.accumulateAndGet(simulation.rules.usedCpuMillis("lender"), Math::min);
                maxUsedByGranted.accumulateAndGet(simulation.rules.usedCpuMillis("granted"), Math::max);
            });
        }
        simulation.run(90 * SECOND);

        assertRules(simulation);
        assertTrue(
                usedByLender.get() == 20_000 && maxUsedByGranted.get() >= 16_000,
                "the lender used " + usedByLender.get() + ", the guaranteed team got " + maxUsedByGranted);
        assertTrue(minUsedByLender.get() >= 16_000, "the lender was left " + minUsedByLender);
    }

    /** One team submits many jobs at once. Guaranteed work of another team does not wait behind them. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void manyJobsOfOneTeamDoNotStarveGuaranteedWork(long seed) {
        Simulation simulation = new Simulation(seed, 3, 1);
        for (int i = 0; i < 40; i++) {
            simulation.users.submit(spotJob(simulation, "free", 5, 12 * SECOND));
        }
        List<JobSpec> granted = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            JobSpec job = spotJob(simulation, "granted", 3, 10 * SECOND);
            granted.add(job);
            simulation.after((30 + 12 * i) * SECOND, () -> simulation.users.submit(job));
        }
        simulation.run(300 * SECOND);

        assertRules(simulation);
        for (JobSpec job : granted) {
            assertTrue(
                    simulation.rules.startDelayMicros(job.id()) < 6 * SECOND,
                    "started after " + simulation.rules.startDelayMicros(job.id()) / 1e6 + " s");
        }
    }

    /**
     * Spot machines are full and an on-demand machine has free capacity. Jobs whose deadlines would let them wait for
     * cheap capacity use it nevertheless if they are within their team's guarantee, or of a class that has to start
     * sooner than a machine boots. No task is stopped for them.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void urgentWorkUsesIdleFullPriceCapacity(long seed) {
        Simulation simulation = new Simulation(seed, 3, 1);
        JobSpec template = simulation.jobs.batchBuilder(1, 600 * SECOND).build();
        simulation.users.submit(simulation.jobs.withCpu(template, 1, 9_000)); // holds a part of an on-demand machine
        // This job fills the spot machines; no other machines are launched for it.
        simulation.users.submit(spotJob(simulation, "free", 30, 300 * SECOND));
        boolean guaranteed = seed % 2 == 1;
        SimJobs jobs = simulation.jobs;
        JobSpec job = jobs.batchBuilder(2, 300 * SECOND)
                .team(guaranteed ? "granted" : "free")
                .onSpot()
                .build();
        JobSpec urgent = guaranteed ? job : simulation.jobs.withJobClass(job, Simulation.URGENT_CLASS);
        Observation<Long> usedBefore = new Observation<>();
        simulation.after(60 * SECOND, () -> {
            usedBefore.set(simulation.rules.usedCpuMillis("free"));
            simulation.users.submit(urgent);
        });
        Observation<Long> usedAfter = simulation.observe(
                80 * SECOND, () -> simulation.rules.usedCpuMillis("free") - (guaranteed ? 0 : 4_000));
        simulation.run(90 * SECOND);

        assertRules(simulation);
        assertEquals(usedBefore.get(), usedAfter.get(), "what the others use");
        assertTrue(
                simulation.rules.startDelayMicros(urgent.id()) < 6 * SECOND,
                "started after " + simulation.rules.startDelayMicros(urgent.id()) / 1e6 + " s");
    }

    /**
     * Guaranteed jobs arrive one after the other while all machines are in use. The tasks that are stopped for one of
     * them start again on other machines, and must not be stopped there again and again for the next ones.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void tasksAreNotStoppedRepeatedlyForGuaranteedWork(long seed) {
        Simulation simulation = new Simulation(seed, 3, 3);
        for (int i = 0; i < 30; i++) {
            simulation.users.submit(spotJob(simulation, "free", 20, 60 * SECOND));
        }
        for (int i = 0; i < 120; i++) {
            JobSpec granted = spotJob(simulation, i % 2 == 0 ? "granted" : "lender", 7, 12 * SECOND);
            simulation.after(30 * SECOND + 700_000L * i, () -> simulation.users.submit(granted));
        }
        simulation.run(200 * SECOND);

        assertRules(simulation);
        int maxStarts = simulation.rules.maxStartsPerTask();
        assertTrue(maxStarts > 1 && maxStarts <= MAX_STARTS_PER_TASK, "one task was started " + maxStarts + " times");
    }
}
