package org.granitepath.simulation;

import org.granitepath.storage.Priority;

/** Fleets of three sizes with services and batch work, for what a cold restart costs. */
final class RecoveryLoad {
    static final long SECOND = Simulation.SECOND;
    static final long RESTART = 90 * SECOND;
    private static final int SERVICE_REPLICAS = 6;
    private static final long BATCH_CPU_MILLIS = 4_000;
    private static final long BATCH_RUN = 120 * SECOND;
    /** Offers of the simulated cloud: two types in two zones, spot or not. */
    private static final int OFFERS = 8;

    /** How many machines there are, and how much work. */
    enum Size {
        SMALL(40, 6, 1),
        MIDDLE(400, 40, 4),
        LARGE(4_000, 300, 40);

        final int machines;
        final int services;
        final int batchJobs;

        Size(int machines, int services, int batchJobs) {
            this.machines = machines;
            this.services = services;
            this.batchJobs = batchJobs;
        }
    }

    private RecoveryLoad() {}

    /** The deployment's limits do not grow with the fleet, but for the sockets. */
    static Simulation fleet(long seed, Size size) {
        Simulation s = new Simulation(
                seed,
                new Simulation.Shape(
                        5,
                        size.machines / OFFERS + size.machines / 100,
                        5 * SECOND,
                        27 * SECOND,
                        52 * SECOND,
                        150,
                        18,
                        8 * 1024,
                        8,
                        Math.max(1_000, size.machines)));
        for (int i = 0; i < size.services; i++) {
            s.users.submit(s.jobs.job(true, SERVICE_REPLICAS, Priority.CRITICAL, "free", false, true, false, 0, 0), -1);
        }
        int tasks = size.machines * 3 / size.batchJobs;
        for (int i = 0; i < size.batchJobs; i++) {
            s.world.after((3 + i) * SECOND / 2, () -> {
                var any = s.jobs.job(false, 5, Priority.STANDARD, "free", true, false, false, BATCH_RUN, 0);
                s.users.submit(s.jobs.withCpu(any, tasks, BATCH_CPU_MILLIS), -1);
            });
        }
        return s;
    }
}
