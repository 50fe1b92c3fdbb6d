package org.granitepath.simulation;

import static org.granitepath.simulation.SimulationTest.assertRules;
import static org.granitepath.simulation.SimulationTest.assertRulesAndAllDone;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
        return simulation.jobs.withoutDeadline(
                simulation.jobs.job(false, tasks, Priority.STANDARD, team, true, false, false, runMicros, 0));
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
        long[] used = new long[3];
        simulation.after(60 * SECOND, () -> {
            used[0] = simulation.rules.usedBy("free");
            if (seed % 2 == 1) {
                simulation.faults.crash(simulation.leader(), 300_000);
            }
            simulation.users.submit(wide(simulation, "granted", 8, 30 * SECOND));
            // Beyond the guarantee it borrows like everybody else: nothing is stopped for that.
            simulation.after(SECOND, () -> simulation.users.submit(wide(simulation, "granted", 5, 30 * SECOND)));
        });
        long within = seed % 2 == 1 ? 16 : 10;
        for (long i = 1; i <= within; i++) {
            simulation.after((60 + i) * SECOND, () -> {
                used[1] = Math.max(used[1], simulation.rules.usedBy("granted"));
                used[2] = simulation.rules.usedBy("free");
            });
        }
        simulation.run(80 * SECOND, 900 * SECOND);
        assertTrue(used[0] > 20_000, "the others use only " + used[0]);
        assertTrue(used[1] >= 16_000, "the guaranteed team uses " + used[1]);
        assertTrue(used[2] >= used[0] - 20_000, "the others were left " + used[2] + " of " + used[0]);
        assertRulesAndAllDone(simulation);
    }

    /** A job that goes beyond its team's guarantee is borrowed in part: no more than that part is taken back. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void nobodyGivesBackMoreThanItBorrowed(long seed) {
        Simulation simulation = new Simulation(seed, 3, 1);
        simulation.users.submit(wide(simulation, "free", 10, 300 * SECOND));
        // Of low priority, so that stopping it costs least, and on all machines, so that many of its tasks could go at
        // once.
        simulation.users.submit(simulation.jobs.withoutDeadline(
                simulation.jobs.job(false, 10, Priority.BEST_EFFORT, "lender", true, false, false, 300 * SECOND, 0)));
        long[] lent = {0, Long.MAX_VALUE, 0};
        simulation.after(60 * SECOND, () -> {
            lent[0] = simulation.rules.usedBy("lender");
            simulation.users.submit(wide(simulation, "free", 40, 300 * SECOND));
        });
        simulation.after(75 * SECOND, () -> simulation.users.submit(wide(simulation, "granted", 8, 60 * SECOND)));
        for (long i = 1; i <= 12; i++) {
            simulation.after((75 + i) * SECOND, () -> {
                lent[1] = Math.min(lent[1], simulation.rules.usedBy("lender"));
                lent[2] = Math.max(lent[2], simulation.rules.usedBy("granted"));
            });
        }
        simulation.run(90 * SECOND);
        assertRules(simulation);
        assertTrue(lent[0] == 20_000 && lent[2] >= 16_000, "the lender used " + lent[0] + ", the other got " + lent[2]);
        assertTrue(lent[1] >= 16_000, "the lender was left " + lent[1]);
    }

    /** A team with many jobs at once: guaranteed work of another does not wait behind the swarm. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void aSwarmDoesNotStarveOthers(long seed) {
        Simulation simulation = new Simulation(seed, 3, 1);
        for (int i = 0; i < 40; i++) {
            simulation.users.submit(wide(simulation, "free", 5, 12 * SECOND));
        }
        JobSpec[] granted = new JobSpec[6];
        for (int i = 0; i < granted.length; i++) {
            granted[i] = wide(simulation, "granted", 3, 10 * SECOND);
            JobSpec job = granted[i];
            simulation.after((30 + 12 * i) * SECOND, () -> simulation.users.submit(job));
        }
        simulation.run(300 * SECOND);
        assertRules(simulation);
        for (JobSpec job : granted) {
            assertTrue(
                    simulation.rules.begunAfter(job.id()) < 6 * SECOND,
                    "begun after " + simulation.rules.begunAfter(job.id()) / 1e6 + " s");
        }
    }

    /**
     * Spot machines are full and a full-price machine has capacity. Jobs that could wait for cheap capacity by their
     * deadlines take it all the same when they are within their team's guarantee, or of a class that is to start
     * sooner than a machine boots; nothing is stopped for them.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void urgentWorkDoesNotWaitBesideFullPriceCapacity(long seed) {
        Simulation simulation = new Simulation(seed, 3, 1);
        JobSpec like = simulation.jobs.job(false, 1, Priority.STANDARD, "free", false, false, false, 600 * SECOND, 0);
        simulation.users.submit(simulation.jobs.withCpu(like, 1, 9_000)); // holds a part of a full-price machine
        simulation.users.submit(
                wide(simulation, "free", 30, 300 * SECOND)); // fills the spot machines, and asks for no others
        boolean guaranteed = seed % 2 == 1;
        JobSpec job = simulation.jobs.job(
                false, 2, Priority.STANDARD, guaranteed ? "granted" : "free", true, false, false, 300 * SECOND, 0);
        JobSpec urgent = guaranteed ? job : simulation.jobs.ofClass(job, Simulation.PROMPT);
        long[] used = new long[2];
        simulation.after(60 * SECOND, () -> {
            used[0] = simulation.rules.usedBy("free");
            simulation.users.submit(urgent);
        });
        simulation.after(80 * SECOND, () -> used[1] = simulation.rules.usedBy("free") - (guaranteed ? 0 : 4_000));
        simulation.run(90 * SECOND);
        assertRules(simulation);
        assertTrue(used[1] == used[0], "the others use " + used[1] + " after " + used[0]);
        assertTrue(
                simulation.rules.begunAfter(urgent.id()) < 6 * SECOND,
                "begun after " + simulation.rules.begunAfter(urgent.id()) / 1e6 + " s");
    }

    /**
     * Guaranteed jobs come one after the other to a full site: what they stop is started elsewhere, and must not be
     * stopped there for the next, over and over.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void tasksAreNotStoppedOverAndOver(long seed) {
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
        int most = simulation.rules.mostStartsOfATask();
        assertTrue(most > 1 && most <= MOST_STARTS, "one task was started " + most + " times");
    }
}
