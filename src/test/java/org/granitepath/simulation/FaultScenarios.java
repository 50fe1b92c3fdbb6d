package org.granitepath.simulation;

import java.util.ArrayList;
import java.util.List;
import org.granitepath.storage.JobSpec;
import org.granitepath.storage.Priority;

/** Deployments, long work and helpers that the tests of faults share. */
final class FaultScenarios {
    static final long SECOND = Simulation.SECOND;

    /** Long leases and little time beside them; then short ones, and heartbeats that come often. */
    static final Simulation.Shape LONG =
            new Simulation.Shape(5, 4, 3 * SECOND, 27 * SECOND, 52 * SECOND, 150, 18, 8 * 1024, 8, 1_500);

    static final Simulation.Shape SHORT =
            new Simulation.Shape(5, 4, 2 * SECOND, 13 * SECOND, 33 * SECOND, 300, 90, 32 * 1024, 16, 2_000);

    static Simulation simulation(long seed) {
        return new Simulation(seed, seed % 2 == 0 ? LONG : SHORT);
    }

    /** Services and wide jobs with long tasks, so that whatever happens meets work that runs. */
    static List<JobSpec> longWork(Simulation s, int services, int batches, long runMicros) {
        List<JobSpec> jobs = new ArrayList<>();
        for (int i = 0; i < services; i++) {
            jobs.add(s.jobs.job(true, 4, Priority.CRITICAL, "free", false, true, false, 0, 0));
        }
        for (int i = 0; i < batches; i++) {
            jobs.add(s.jobs.job(false, 10, Priority.STANDARD, "free", true, false, false, runMicros, 0));
        }
        jobs.forEach(j -> s.users.submit(j, -1));
        return jobs;
    }

    static List<String> others(Simulation s, String node) {
        return s.names.stream().filter(n -> !n.equals(node)).toList();
    }

    private FaultScenarios() {}
}
