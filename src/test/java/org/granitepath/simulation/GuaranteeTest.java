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

/** What a team is guaranteed it gets, while others borrow all there is. */
class GuaranteeTest {
    private static final long SECOND = Simulation.SECOND;
    /** A task may be stopped for guaranteed work now and then. */
    private static final int MOST_STARTS = 8;

    private static JobSpec wide(Simulation simulation, String team, int tasks, long runMicros) {
        SimJobs jobs = simulation.jobs;
        return jobs.batchBuilder(tasks, runMicros)
                .team(team)
                .onSpot()
                .withoutDeadline()
                .build();
    }

    /**
     * A full site of borrowed work: the guaranteed job runs whole within seconds, with odd seeds across a change of
     * leader.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void borrowedCapacityIsReclaimed(long seed) {
        Simulation simulation = new Simulation(seed, 3, 1);
        for (int i = 0; i < 2; i++) {
            simulation.users.submit(wide(simulation, "free", 35, 150 * SECOND));
        }
        Observation<Long> usedBefore = new Observation<>();
        simulation.after(60 * SECOND, () -> {
            usedBefore.set(simulation.rules.usedCpuMillis("free"));
            if (seed % 2 == 1) {
                simulation.faults.crash(simulation.leader(), 300_000);
            }
            simulation.users.submit(wide(simulation, "granted", 8, 30 * SECOND));
            // Beyond the guarantee it borrows like everybody else: nothing is stopped for that.
            simulation.after(SECOND, () -> simulation.users.submit(wide(simulation, "granted", 5, 30 * SECOND)));
        });
        long within = seed % 2 == 1 ? 16 : 10;
        AtomicLong mostGranted = new AtomicLong();
        Observation<Long> usedAfter = new Observation<>();
        for (long i = 1; i <= within; i++) {
            simulation.after((60 + i) * SECOND, () -> {
                mostGranted.accumulateAndGet(simulation.rules.usedCpuMillis("granted"), Math::max);
                usedAfter.set(simulation.rules.usedCpuMillis("free"));
            });
        }
        simulation.runWithLivenessChecks(80 * SECOND, 900 * SECOND);

        assertTrue(usedBefore.get() > 20_000, "the others use only " + usedBefore.get());
        assertTrue(mostGranted.get() >= 16_000, "the guaranteed team uses " + mostGranted);
        assertTrue(
                usedAfter.get() >= usedBefore.get() - 20_000,
                "the others were left " + usedAfter.get() + " of " + usedBefore.get());
        assertRulesAndAllDone(simulation);
    }

    /** A job that goes beyond its team's guarantee is borrowed in part: no more than that part is taken back. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void teamsGiveBackNoMoreThanTheyBorrowed(long seed) {
        Simulation simulation = new Simulation(seed, 3, 1);
        simulation.users.submit(wide(simulation, "free", 10, 300 * SECOND));
        // Of low priority, so that stopping it costs least, and on all machines, so that many of its tasks could go at
        // once.
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
            simulation.users.submit(wide(simulation, "free", 40, 300 * SECOND));
        });
        simulation.after(75 * SECOND, () -> simulation.users.submit(wide(simulation, "granted", 8, 60 * SECOND)));
        AtomicLong leastLeft = new AtomicLong(Long.MAX_VALUE);
        AtomicLong mostGranted = new AtomicLong();
        for (long i = 1; i <= 12; i++) {
            simulation.after((75 + i) * SECOND, () -> {
                leastLeft.accumulateAndGet(simulation.rules.usedCpuMillis("lender"), Math::min);
                mostGranted.accumulateAndGet(simulation.rules.usedCpuMillis("granted"), Math::max);
            });
        }
        simulation.run(90 * SECOND);

        assertRules(simulation);
        assertTrue(
                usedByLender.get() == 20_000 && mostGranted.get() >= 16_000,
                "the lender used " + usedByLender.get() + ", the other got " + mostGranted);
        assertTrue(leastLeft.get() >= 16_000, "the lender was left " + leastLeft);
    }

    /** A team with many jobs at once: guaranteed work of another does not wait behind the swarm. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void manyJobsOfOneTeamDoNotStarveGuaranteedWork(long seed) {
        Simulation simulation = new Simulation(seed, 3, 1);
        for (int i = 0; i < 40; i++) {
            simulation.users.submit(wide(simulation, "free", 5, 12 * SECOND));
        }
        List<JobSpec> granted = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            JobSpec job = wide(simulation, "granted", 3, 10 * SECOND);
            granted.add(job);
            simulation.after((30 + 12 * i) * SECOND, () -> simulation.users.submit(job));
        }
        simulation.run(300 * SECOND);

        assertRules(simulation);
        for (JobSpec job : granted) {
            assertTrue(
                    simulation.rules.startDelayMicros(job.id()) < 6 * SECOND,
                    "begun after " + simulation.rules.startDelayMicros(job.id()) / 1e6 + " s");
        }
    }

    /**
     * Spot machines are full and a full-price machine has capacity. Jobs that could wait for cheap capacity by their
     * deadlines take it all the same when they are within their team's guarantee, or of a class that is to start
     * sooner than a machine boots; nothing is stopped for them.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void urgentWorkUsesIdleFullPriceCapacity(long seed) {
        Simulation simulation = new Simulation(seed, 3, 1);
        JobSpec like = simulation.jobs.batchBuilder(1, 600 * SECOND).build();
        simulation.users.submit(simulation.jobs.withCpu(like, 1, 9_000)); // holds a part of a full-price machine
        simulation.users.submit(
                wide(simulation, "free", 30, 300 * SECOND)); // fills the spot machines, and asks for no others
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
                "begun after " + simulation.rules.startDelayMicros(urgent.id()) / 1e6 + " s");
    }

    /**
     * Guaranteed jobs come one after the other to a full site: what they stop is started elsewhere, and must not be
     * stopped there for the next, over and over.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void tasksAreNotStoppedRepeatedlyForGuaranteedWork(long seed) {
        Simulation simulation = new Simulation(seed, 3, 3);
        for (int i = 0; i < 30; i++) {
            simulation.users.submit(wide(simulation, "free", 20, 60 * SECOND));
        }
        for (int i = 0; i < 120; i++) {
            JobSpec granted = wide(simulation, i % 2 == 0 ? "granted" : "lender", 7, 12 * SECOND);
            simulation.after(30 * SECOND + 700_000L * i, () -> simulation.users.submit(granted));
        }
        simulation.run(200 * SECOND);

        assertRules(simulation);
        int most = simulation.rules.maxStartsPerTask();
        assertTrue(most > 1 && most <= MOST_STARTS, "one task was started " + most + " times");
    }
}
