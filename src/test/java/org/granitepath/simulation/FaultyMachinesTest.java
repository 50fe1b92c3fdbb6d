package org.granitepath.simulation;

import static org.granitepath.simulation.SimulationTest.assertRules;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.Priority;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Machines that fail every task, and jobs that fail on every machine. */
class FaultyMachinesTest {
    private static final long SECOND = Simulation.SECOND;
    private static final int FAULTY_MACHINES = 6;
    /** Two tasks make a machine faulty; more may have been on their way when the second failed. */
    private static final int MOST_FAILURES_OF_A_MACHINE = 4;

    private static JobSpec job(Simulation s, int tasks) {
        return s.jobs.withoutDeadline(
                s.jobs.job(false, tasks, Priority.STANDARD, "free", true, false, false, 15 * SECOND, 0));
    }

    /** Many machines fail at once: each is found after a few tasks, and no job is made to wait for it. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void faultyMachinesAreFoundAfterFewFailures(long seed) {
        Simulation s = new Simulation(seed, 3, 4);
        List<JobSpec> jobs = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            JobSpec next = job(s, 7);
            s.world.after(2L * i * SECOND, () -> s.users.submit(next, -1));
            if (i >= 20) {
                jobs.add(next);
            }
        }
        List<SimWorker> faulty = new ArrayList<>();
        s.world.after(38 * SECOND, () -> {
            faulty.addAll(s.cloud.workers().stream().limit(FAULTY_MACHINES).toList());
            faulty.forEach(w -> w.faulty = true);
        });
        s.run(220 * SECOND);
        assertRules(s);
        int failures = faulty.stream().mapToInt(w -> w.failures).sum();
        assertTrue(failures >= FAULTY_MACHINES / 2, failures + " failures");
        for (SimWorker w : faulty) {
            assertTrue(w.failures <= MOST_FAILURES_OF_A_MACHINE, w.failures + " tasks failed on " + w.id);
        }
        for (JobSpec j : jobs) {
            assertTrue(
                    s.rules.finishedAfter(j.id()) < 60 * SECOND, "done after " + s.rules.finishedAfter(j.id()) / 1e6);
        }
    }

    /** Jobs that fail everywhere are tried less and less often, and no machine is given up for them. */
    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13})
    void jobsThatFailEverywhereTakeNoMachines(long seed) {
        Simulation s = new Simulation(seed, 3, 2);
        for (int i = 0; i < 45; i++) {
            s.world.after(4L * i * SECOND, () -> s.users.submit(job(s, 8), -1));
        }
        List<SimWorker> before = new ArrayList<>();
        s.world.after(40 * SECOND, () -> {
            before.addAll(s.cloud.workers());
            for (int i = 0; i < 2; i++) {
                JobSpec broken = job(s, 8);
                s.brokenJobs.add(broken.id());
                s.users.submit(broken, -1);
            }
        });
        s.run(180 * SECOND);
        assertRules(s);
        int failures = s.cloud.workers().stream().mapToInt(w -> w.failures).sum();
        assertTrue(failures >= 10 && failures < 50, failures + " failures");
        long left = before.stream().filter(w -> !w.alive()).count();
        assertTrue(left <= 2, left + " of " + before.size() + " machines were given up");
    }
}
