package org.granitepath.simulation;

import static org.granitepath.simulation.SimulationTest.assertRules;
import static org.granitepath.simulation.SimulationTest.assertRulesAndAllDone;
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
     * some machines nobody could own them any more. Owners crash, also in the middle of a takeover, and the state
     * service goes away.
     */
    @ParameterizedTest
    @ValueSource(longs = {61, 62})
    void fiveControllersAndHundredsOfMachines(long seed) {
        Simulation s = new Simulation(seed, 5, 30);
        for (int i = 0; i < 12; i++) {
            s.world.after(
                    2 * SECOND + 5L * i * SECOND,
                    () -> s.users.submit(
                            s.jobs.job(
                                    false,
                                    120,
                                    Priority.STANDARD,
                                    "free",
                                    s.world.random.nextBoolean(),
                                    false,
                                    false,
                                    25 * SECOND,
                                    0),
                            -1));
            s.world.after(
                    2 * SECOND + 5L * i * SECOND,
                    () -> s.users.submit(
                            s.jobs.job(true, 6, Priority.CRITICAL, "free", false, true, false, 0, 0), 120 * SECOND));
        }
        int[] most = new int[1];
        s.world.after(45 * SECOND, () -> {
            most[0] = s.cloud.workers().size();
            s.faults.crash(s.leader(), 4 * SECOND);
        });
        s.world.after(49 * SECOND, () -> s.faults.crash(s.leader(), 300_000));
        s.world.after(70 * SECOND, () -> s.names.forEach(n -> s.faults.crash(n, SECOND)));
        s.world.after(75 * SECOND, () -> s.store.outage(10 * SECOND));
        s.run(100 * SECOND, 300 * SECOND);
        assertTrue(most[0] > 150, "only " + most[0] + " machines");
        assertRulesAndAllDone(s);
        s.rules.checkServed();
        assertRules(s);
    }

    /**
     * Far more work than capacity, for minutes: wide and low jobs begin all the same, and half of every kind is served.
     */
    @ParameterizedTest
    @ValueSource(longs = {71, 72, 73})
    void overloadStarvesNobody(long seed) {
        Simulation s = new Simulation(seed, 3, 1);
        for (int i = 0; i < 60; i++) {
            int n = i;
            s.world.after(
                    2 * SECOND + 5L * i * SECOND,
                    () -> s.users.submit(
                            s.jobs.job(
                                    false,
                                    n % 10 == 3 ? 60 : 16,
                                    Priority.STANDARD,
                                    n % 7 == 0 ? "tight" : "free",
                                    true,
                                    false,
                                    false,
                                    15 * SECOND,
                                    0),
                            -1));
            s.world.after(2 * SECOND + 5L * i * SECOND, () -> {
                if (n % 4 == 0) {
                    s.users.submit(
                            s.jobs.job(
                                    false,
                                    n % 8 == 0 ? 40 : 6,
                                    Priority.BEST_EFFORT,
                                    "free",
                                    true,
                                    false,
                                    false,
                                    12 * SECOND,
                                    3 * SECOND),
                            -1);
                }
            });
        }
        s.run(310 * SECOND, 900 * SECOND);
        s.rules.checkServed();
        assertRules(s);
    }

    /** Services keep arriving: for most of them there is capacity already when they come. */
    @Test
    void headroomForServicesToCome() {
        Simulation s = new Simulation(75, 3, 10);
        List<JobSpec> late = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            JobSpec j = s.jobs.job(true, 2, Priority.CRITICAL, "free", false, true, false, 0, 0);
            s.world.after(2 * SECOND + 3L * i * SECOND, () -> s.users.submit(j, -1));
            if (i >= 25) {
                late.add(j);
            }
        }
        s.run(200 * SECOND);
        assertRules(s);
        long prompt = late.stream()
                .filter(j -> s.rules.begunAfter(j.id()) < 5 * SECOND)
                .count();
        assertTrue(prompt >= late.size() * 0.9, prompt + " of " + late.size() + " began at once");
    }

    /**
     * Machines on which many small tasks run and are replaced: new fencing tokens, which let their exited attempts be
     * cleared, are drawn now and then for all together, and never for what runs.
     */
    @Test
    void cleanupOfMachinesWithManyTasksIsRare() {
        Simulation s = new Simulation(85, 3, 3);
        JobSpec like = s.jobs.job(true, 31, Priority.CRITICAL, "free", false, false, false, 0, 0);
        for (int i = 0; i < 4; i++) {
            s.users.submit(s.jobs.withCpu(like, 31, 250), -1);
        }
        JobSpec batch = s.jobs.job(false, 60, Priority.STANDARD, "free", true, false, false, 2 * SECOND, 0);
        for (int i = 0; i < 30; i++) {
            s.world.after((20 + 3 * i) * SECOND, () -> s.users.submit(s.jobs.withCpu(batch, 60, 250), -1));
        }
        s.run(150 * SECOND);
        assertRulesAndAllDone(s);
        int drawn = s.store.writesOf(Keys.FENCING_TOKEN);
        assertTrue(drawn < 60, drawn + " fencing tokens drawn");
    }

    /** Each service alone would take small machines; together they also fill large ones, which are up sooner. */
    @Test
    void machinesForServicesAreLaunchedAsAClass() {
        Simulation s = new Simulation(76, 3, 20);
        for (int i = 0; i < 40; i++) {
            s.users.submit(s.jobs.job(true, 4, Priority.CRITICAL, "free", false, true, false, 0, 0), -1);
        }
        s.run(30 * SECOND);
        assertRules(s);
        long large = s.cloud.workers().stream()
                .filter(w -> w.type.name().equals("large"))
                .count();
        assertTrue(large >= 2, large + " large machines");
    }

    /** Machines that never come up are not waited for until they are given back. */
    @ParameterizedTest
    @ValueSource(longs = {77, 78, 79})
    void lateBootsAreNotWaitedFor(long seed) {
        Simulation s = new Simulation(seed, 3, 5);
        s.cloud.neverUp = 2;
        JobSpec j = s.jobs.job(true, 4, Priority.CRITICAL, "free", false, true, false, 0, 0);
        s.users.submit(j, -1);
        s.run(90 * SECOND);
        assertRules(s);
        assertTrue(
                s.rules.begunAfter(j.id()) < 45 * SECOND, "begun after " + s.rules.begunAfter(j.id()) / SECOND + " s");
    }

    /** On a full site the jobs that can be in time together are, instead of all being late together. */
    @ParameterizedTest
    @ValueSource(longs = {81, 82, 83})
    void someInTimeRatherThanAllLate(long seed) {
        Simulation s = new Simulation(seed, 3, 1);
        s.users.submit(s.jobs.job(false, 120, Priority.STANDARD, "free", true, false, false, 8 * SECOND, 0), -1);
        List<JobSpec> jobs = new ArrayList<>();
        for (int i = 0; i < 16; i++) {
            jobs.add(s.jobs.job(
                    false, i % 4 == 0 ? 240 : 50, Priority.STANDARD, "free", true, false, false, 8 * SECOND, 0));
            JobSpec j = jobs.get(i);
            s.world.after(30 * SECOND + 6L * i * SECOND, () -> s.users.submit(j, -1));
        }
        s.run(700 * SECOND);
        assertRulesAndAllDone(s);
        long inTime = jobs.stream()
                .filter(j -> s.rules.finishedAfter(j.id()) <= j.deadlineMicros())
                .count();
        assertTrue(inTime >= 4, inTime + " of " + jobs.size() + " in time");
    }
}
