package org.granitepath.simulation;

/** Deployments of three sizes with services and batch jobs, to measure cold restarts. */
final class RecoveryLoad {
    static final long SECOND = Simulation.SECOND;
    static final long RESTART_MICROS = 90 * SECOND;
    private static final int SERVICE_REPLICAS = 6;
    private static final long BATCH_CPU_MILLIS = 4_000;
    private static final long BATCH_RUN_MICROS = 120 * SECOND;
    /** The number of offers of the simulated cloud: two types in two zones, each spot or on-demand. */
    private static final int OFFER_COUNT = 8;

    /** The number of machines, services and batch jobs. */
    enum Size {
        SMALL(40, 6, 1),
        MEDIUM(400, 40, 4),
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

    /** Creates a deployment. Its limits do not grow with the fleet, except the number of connections. */
    static Simulation fleet(long seed, Size size) {
        Simulation simulation = new Simulation(
                seed,
                FaultScenarios.LONG_LEASES
                        .withMachinesPerOffer(size.machines / OFFER_COUNT + size.machines / 100)
                        .withHeartbeatInterval(5 * SECOND)
                        .withMaxConnections(Math.max(1_000, size.machines)));
        for (int i = 0; i < size.services; i++) {
            simulation.users.submit(simulation.jobs.service(SERVICE_REPLICAS));
        }
        int tasks = size.machines * 3 / size.batchJobs;
        for (int i = 0; i < size.batchJobs; i++) {
            simulation.after((3 + i) * SECOND / 2, () -> {
                var any = simulation.jobs.batch(5, BATCH_RUN_MICROS);
                simulation.users.submit(simulation.jobs.withCpu(any, tasks, BATCH_CPU_MILLIS));
            });
        }
        return simulation;
    }
}
